"""``python -m soak --first 1 --count 50``: findings, then a line of JSON."""

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

MOST_SHOWN = 5  # findings of each promise and seed; all are counted
REGRESSIONS = Path(__file__).with_name('regressions.txt')


def regression_seeds() -> list[int]:
    """Seeds that failed once."""
    lines = REGRESSIONS.read_text().splitlines()
    return [int(one.split()[0]) for one in lines if not one.startswith('#')]


def play(
    first: int = 1,
    count: int = 1,
    seconds: float = 20.0,
    cores: int = 3,
    fronts: int = 2,
    workers: int = 5,
    logs: str = '',
    regressions: bool = False,
) -> None:
    """Play seeds one after another; exits with 1 if a promise was broken.

    :param first: the first of ``count`` seeds.
    :param seconds: time of each seed in which faults begin.
    :param logs: folder in which the logs of a seed that failed are kept.
    :param regressions: play the seeds that failed once instead.
    """
    played = jobs = 0
    faults: collections.Counter[str] = collections.Counter()
    checked: collections.Counter[str] = collections.Counter()
    broken: collections.Counter[str] = collections.Counter()
    seeds: Iterable[int] = range(first, first + count)
    if regressions:
        seeds = regression_seeds()
    for seed in seeds:
        with tempfile.TemporaryDirectory() as name:
            run = SoakRun(
                seed, Path(name), cores=cores, fronts=fronts, workers=workers
            )
            try:
                run.start()
                run.play(seconds)
            finally:
                run.close()
                if run.promises.broken and logs:
                    run.save_logs(Path(logs, f'seed-{seed}'))
        played += 1
        jobs += len(run.promises.jobs)
        faults.update(run.fault_counts)
        checked.update(run.promises.checked)
        shown: collections.Counter[str] = collections.Counter()
        for promise, detail in run.promises.broken:
            broken[promise] += 1
            shown[promise] += 1
            if shown[promise] <= MOST_SHOWN:
                print(f'seed {seed}: {promise}: {detail}', flush=True)
        print(f'seed {seed}: {run.fault_counts}', flush=True)
    summary = {
        'seeds': played,
        'jobs': jobs,
        'faults': sum(faults.values()),
        **{one: broken[one] for one in PROMISES},
        'checked': dict(sorted(checked.items())),
    }
    print(json.dumps(summary), flush=True)
    if broken:
        sys.exit(1)


def main() -> None:
    # The processes that were started are ended on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    fire.Fire(play)


if __name__ == '__main__':
    main()
