"""Lasting jobs on six workers, of which one crashes every few seconds."""

from pathlib import Path
import sys
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import Deployment, make_configuration, Record, TROUBLE

WORKERS = 6
JOBS = 6  # lasting jobs of five tasks each, as on the sheets
TASKS = 5
CRASHES = 25
CRASH_EVERY_S = 3.0
DOWN_S = 1.0  # srv_crash: one of six workers, for_s = 1


def main():
    record = Record(FOLDER / 'record.txt')
    dep = Deployment(record, workers=WORKERS)
    try:
        dep.start()
        if not dep.configure(make_configuration(7)) or not dep.wait_ready():
            record.add('the system did not become ready')
            return 2
        for machine in dep.machines:
            dep.start_worker(machine)
        time.sleep(2.5)
        names = [f'{number + 1:016x}' for number in range(JOBS)]
        for name in names:
            job = {'specification': '{}',
                   'steps': [{'count': TASKS, 'cpu': 3000,
                              'memoryRequestMb': 1024, 'estimatedMs': 700,
                              'longRunning': True, 'missAllowance': 1}]}
            if not dep.submit(f'/q/{name}', job):
                record.add(f'{name} was not accepted')
                return 2
        time.sleep(3.0)
        failed = watch(dep, names)
        ends = [line for line in record.read_worker_events()
                if line.endswith(': failed')]
        if ends:
            record.add('a run ended as failed: the case can not be judged')
            return 2
        for name in sorted(failed):
            record.add(f'BROKEN: LOST: job {name} is shown as failed or '
                       'cancelled; no run ended as failed, nobody cancelled')
        if not failed:
            record.add('held: no job was shown as failed')
        return 1 if failed else 0
    finally:
        dep.close()


def watch(dep, names):
    """Crash one worker after the other; return the jobs that are given up."""
    failed = set()
    machines = list(dep.machines)
    for number in range(CRASHES):
        began = time.monotonic()
        machine = machines[number % WORKERS]
        if TROUBLE:
            dep.crash_worker(machine)
            time.sleep(DOWN_S)
            dep.start_worker(machine)
        for name in names:
            _, body = dep.request('GET', f'/q/{name}')
            if body.get('state') in ('failed', 'cancelled'):
                failed.add(name)
        if failed:
            break
        time.sleep(max(began + CRASH_EVERY_S - time.monotonic(), 0))
    return failed


if __name__ == '__main__':
    sys.exit(main())
