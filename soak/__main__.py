"""Command line of the soak: ``python -m soak --first 1 --count 50``.

It prints each finding and ends with a summary of one line of JSON.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import json
from pathlib import Path
import signal
import sys
import tempfile

import fire

from soak.promises import PROMISES
from soak.run import SoakRun

# Findings beyond these are counted but not printed.
MAX_SHOWN_PER_PROMISE_AND_SEED = 5
REGRESSIONS_FILE = Path(__file__).with_name('regressions.txt')


def read_regression_seeds() -> list[int]:
    """Return the seeds that failed before, in the order of the file."""
    lines = REGRESSIONS_FILE.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if not line.startswith('#')]


def play(
    first: int = 1,
    count: int = 1,
    seconds: float = 20.0,
    cores: int = 3,
    fronts: int = 2,
    workers: int = 5,
    logs: str = '',
    regressions: bool = False,
    machine_faults: bool = True,
    crashing_tasks: bool = False,
) -> None:
    """Play seeds one after another; exit with 1 if a promise was broken.

    :param first: the first of ``count`` seeds.
    :param seconds: how long faults are started with each seed.
    :param logs: folder in which the logs of a seed that failed are kept.
    :param regressions: play the seeds that failed before instead.
    :param machine_faults: whether there are faults besides those of workers
        and of the calls to them.
    :param crashing_tasks: whether some tasks end their workers.
    """
    seed_count = job_count = 0
    fault_counts: collections.Counter[str] = collections.Counter()
    checked: collections.Counter[str] = collections.Counter()
    violation_counts: collections.Counter[str] = collections.Counter()
    seeds: Iterable[int] = range(first, first + count)
    if regressions:
        seeds = read_regression_seeds()
    for seed in seeds:
        with tempfile.TemporaryDirectory() as folder:
            run = SoakRun(
                seed,
                Path(folder),
                cores=cores,
                fronts=fronts,
                workers=workers,
                machine_faults=machine_faults,
                crashing_tasks=crashing_tasks,
            )
            try:
                run.start()
                run.play(seconds)
            finally:
                run.close()
                if run.checker.violations and logs:
                    run.save_logs(Path(logs, f'seed-{seed}'))
        seed_count += 1
        job_count += len(run.checker.jobs)
        fault_counts.update(run.fault_counts)
        checked.update(run.checker.checked)
        shown: collections.Counter[str] = collections.Counter()
        for promise, detail in run.checker.violations:
            violation_counts[promise] += 1
            shown[promise] += 1
            if shown[promise] <= MAX_SHOWN_PER_PROMISE_AND_SEED:
                print(f'seed {seed}: {promise}: {detail}', flush=True)
        print(f'seed {seed}: {run.fault_counts}', flush=True)
    summary = {
        'seeds': seed_count,
        'jobs': job_count,
        'faults': sum(fault_counts.values()),
        **{promise: violation_counts[promise] for promise in PROMISES},
        'checked': dict(sorted(checked.items())),
    }
    print(json.dumps(summary), flush=True)
    if violation_counts:
        sys.exit(1)


def main() -> None:
    # Exit through `finally`, so that the started processes are killed.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    fire.Fire(play)


if __name__ == '__main__':
    main()
