"""A worker starts again under its id and is cut off; the leader is killed."""

from pathlib import Path
import sys
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import Deployment, make_configuration, Record, TROUBLE

WORKERS = 6
WORK_MS = 20_000
UP_S = 10.0  # age of the worker's first life when it crashes
DOWN_S = 0.8
CORE_DOWN_S = 3.5  # node_kill on the core
CUT_S = 8.0  # node_cut, servers: the longest in the site file
WATCH_S = 15.0
TASK = '0000000000000001.0.0.0'
FILLER = '0000000000000002'


def main():
    record = Record(FOLDER / 'record.txt')
    # A worker sends its first heartbeat within heartbeatMs of its start.
    dep = Deployment(record, workers=WORKERS,
                     worker_args=('--first-heartbeat-s', '0.75'))
    try:
        dep.start()
        if not dep.configure(make_configuration(7)) or not dep.wait_ready():
            record.add('the system did not become ready')
            return 2
        # Other work leaves room for the task on m-0 only, for the present.
        for number in range(1, WORKERS):
            dep.start_worker(f'm-{number}')
        time.sleep(2.0)
        if not submit(dep, FILLER, count=WORKERS - 1, cpu=17000, lasts=True):
            return 2
        if not wait_for(record, f'start {FILLER}.', WORKERS - 1):
            return 2
        dep.start_worker('m-0')
        time.sleep(UP_S)
        if TROUBLE:
            _, name = dep.machines['m-0']
            dep.crash_worker('m-0')
            time.sleep(DOWN_S)
            dep.start_worker('m-0', name)
        return judge(dep, record)
    finally:
        dep.close()


def submit(dep, name, *, count, cpu, lasts):
    step = {'count': count, 'cpu': cpu, 'memoryRequestMb': 256,
            'estimatedMs': WORK_MS}
    if lasts:
        step['longRunning'] = True
    text = '{}' if lasts else f'{{"workMs": {WORK_MS}}}'
    return dep.submit(f'/q/{name}', {'specification': text, 'steps': [step]})


def wait_for(record, text, count):
    deadline = time.monotonic() + 5.0
    while time.monotonic() < deadline:
        events = record.read_worker_events()
        if sum(text in line for line in events) >= count:
            return True
        time.sleep(0.05)
    record.add(f'not seen: {text}')
    return False


def judge(dep, record):
    if not submit(dep, '0000000000000001', count=1, cpu=20000, lasts=False):
        return 2
    if not wait_for(record, f'start {TASK}', 1):
        return 2
    if TROUBLE:
        leader = dep.find_leader()
        if leader is None:
            return 2
        dep.cut_worker('m-0')
        cut_at = time.monotonic()
        dep.kill_program(leader)
    deadline = time.monotonic() + 10.0
    while dep.request('DELETE', f'/q/{FILLER}')[0] != 200:
        if time.monotonic() > deadline:
            record.add('the other job was not cancelled')
            return 2
        time.sleep(0.2)
    if TROUBLE:
        time.sleep(max(cut_at + CORE_DOWN_S - time.monotonic(), 0))
        dep.start_program(leader)
        time.sleep(max(cut_at + CUT_S - time.monotonic(), 0))
        dep.heal_worker('m-0')
    time.sleep(WATCH_S)
    overlap_s = find_overlap(record.read_worker_events(), TASK)
    if overlap_s:
        record.add(f'BROKEN: TWICE: two runs of {TASK} for {overlap_s:.2f} s '
                   'on workers that are up')
        return 1
    record.add('held: no two runs of the task at the same time')
    return 0


def find_overlap(events, task):
    """Return for how long two runs of a task went on, by the workers."""
    spans = []
    open_runs = {}
    for line in events:
        words = line.split()
        at, worker = float(words[0]), words[2]
        if f'start {task}' in line:
            open_runs[worker] = at
        elif f'end {task}' in line and worker in open_runs:
            spans.append((open_runs.pop(worker), at))
    spans += [(at, float('inf')) for at in open_runs.values()]
    spans.sort()
    last = max((float(line.split()[0]) for line in events), default=0.0)
    overlap = 0.0
    for (_, first_end), (second, second_end) in zip(spans, spans[1:]):
        overlap += max(min(first_end, second_end, last) - second, 0.0)
    return overlap


if __name__ == '__main__':
    sys.exit(main())
