"""Many accepted timed jobs, then the leading core process is killed once."""

from pathlib import Path
import sys
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import Deployment, FINISH_S, make_configuration, Record, TROUBLE

JOBS = 80  # timed jobs, each due once an hour for a year from tomorrow on
REPETITIONS = 8760
INTERVAL_MS = 3_600_000
DOWN_S = 3.5  # node_kill on the core: for_s = 3.5
END_S = 75.0
CALLER_WAIT_S = 3.0


def main():
    record = Record(FOLDER / 'record.txt')
    dep = Deployment(record, workers=2)
    try:
        dep.start()
        if not dep.configure(make_configuration(7)) or not dep.wait_ready():
            record.add('the system did not become ready')
            return 2
        for machine in dep.machines:
            dep.start_worker(machine)
        time.sleep(2.0)
        names = hand_in(dep)
        if names is None:
            return 2
        lasting, timed = names
        time.sleep(3.0)
        if TROUBLE:
            leader = dep.find_leader()
            if leader is None:
                record.add('no leader to kill')
                return 2
            dep.kill_program(leader)
            time.sleep(DOWN_S)
            dep.start_program(leader)
        back_at = time.monotonic()
        return judge(dep, record, lasting, timed, back_at)
    finally:
        dep.close()


def hand_in(dep):
    """Hand in one lasting job and the timed ones; all have to be accepted."""
    lasting = 'aaaaaaaaaaaaaaaa'
    job = {'specification': '{}',
           'steps': [{'count': 2, 'cpu': 500, 'memoryRequestMb': 64,
                      'estimatedMs': 700, 'longRunning': True}]}
    if not dep.submit(f'/q/{lasting}', job):
        return None
    first_ms = int(time.time() * 1000) + 24 * 3600 * 1000
    timed = []
    for number in range(JOBS):
        name = f'{number + 1:016x}'
        job = {'specification': '{"workMs": 500}',
               'steps': [{'count': 1, 'cpu': 500, 'memoryRequestMb': 64,
                          'estimatedMs': 500}],
               'firstRunMs': first_ms + number * 1000,
               'intervalMs': INTERVAL_MS, 'repetitions': REPETITIONS}
        if not dep.submit(f'/q/{name}', job):
            dep.record.add(f'{name} was not accepted')
            return None
        timed.append(name)
    return lasting, timed


def judge(dep, record, lasting, timed, back_at):
    """Ask for the jobs from ``FINISH_S`` after the process is back."""
    time.sleep(max(back_at + FINISH_S - time.monotonic(), 0))
    record.add(f'{FINISH_S:.0f} s have passed: the jobs are asked for')
    unanswered = {lasting, timed[0], timed[-1]}
    while unanswered and time.monotonic() - record.began < END_S:
        for name in sorted(unanswered):
            status, _ = dep.request('GET', f'/q/{name}',
                                    limit_s=CALLER_WAIT_S)
            if status == 410:
                record.add(f'BROKEN: LOST: {name} is said not to exist')
                return 1
            if status == 200:
                unanswered.discard(name)
        time.sleep(0.5)
    if unanswered:
        for name in sorted(unanswered):
            record.add(f'BROKEN: LOST: accepted job {name} got no answer '
                       f'until {END_S:.0f} s')
        return 1
    record.add('held: each job was answered')
    return 0


if __name__ == '__main__':
    sys.exit(main())
