"""A gang on a queue with advice, whose policy allows five of 24 workers."""

from pathlib import Path
import sys
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import Deployment, FINISH_S, make_configuration, Record, TROUBLE

WORKERS = 24
# The policy allows the machines of rack r1-5 and one of rack r1-0.
GOOD = {0, 20, 21, 22, 23}
WATCH_S = 30.0


def is_good(name):
    """Return whether the policy allows a worker, by its machine's number."""
    return not TROUBLE or int(name[2:4]) in GOOD


def main():
    record = Record(FOLDER / 'record.txt')
    dep = Deployment(record, workers=WORKERS, advisor=is_good,
                     worker_args=('--tickets',))
    try:
        dep.start()
        config = make_configuration(7, advice={
            'decisionMs': 20, 'periodMs': 0, 'validityMs': 3000})
        if not dep.configure(config) or not dep.wait_ready():
            record.add('the system did not become ready')
            return 2
        for machine in dep.machines:
            dep.start_worker(machine)
            time.sleep(0.5)
        time.sleep(2.0)
        return judge(dep, record)
    finally:
        dep.close()


def judge(dep, record):
    """Hand in one plain job and one gang of two; each worker holds one."""
    step = {'count': 2, 'cpu': 20000, 'memoryRequestMb': 1024,
            'estimatedMs': 500}
    jobs = {'0000000000000001': step,
            '0000000000000002': {**step, 'gangScheduled': True}}
    plain, gang = jobs
    for name, each in jobs.items():
        job = {'specification': '{"workMs": 500}', 'steps': [each]}
        if not dep.submit(f'/q/{name}', job):
            return 2
        time.sleep(3.0)
    time.sleep(FINISH_S)
    record.add(f'{FINISH_S:.0f} s have passed: the jobs are asked for')
    states = {}
    deadline = time.monotonic() + WATCH_S
    while time.monotonic() < deadline:
        for name in jobs:
            states[name] = dep.request('GET', f'/q/{name}')[1].get('state')
        if states[gang] == 'completed':
            break
        time.sleep(2.0)
    started = any(f'start {gang}.' in line
                  for line in record.read_worker_events())
    if states[plain] != 'completed':
        record.add('the plain job did not complete: the case can not run')
        return 2
    if states[gang] != 'completed' and not started:
        record.add('BROKEN: LOST: the accepted gang was never started; five '
                   'workers may run it, two would do, and none runs anything')
        return 1
    record.add(f'held: the gang is {states[gang]}, started: {started}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
