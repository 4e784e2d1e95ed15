"""Fault matrix of the replicated log: every fault at every step.

The rows come from the registry ``STEPS`` of :mod:`bench.steps`, the columns
from ``FAULTS`` of :mod:`bench.faults`: each fault alone, each fault twice,
and each pair of faults together. A new step or fault needs only its class
with the decorator; the docstrings of the two modules say what it provides.
``MORE_STEPS`` names the modules that register further steps, such as those
of the replicated state in :mod:`bench.state_steps`.

A cell runs a group of members on fakes of network, disk and clock, with
callers that read and write all the time. It passes if, after the fault ends,
the step comes to its end and all members agree; nothing acknowledged is
lost; no committed entry changes; each term has at most one leader; and the
reads and writes are linearizable. The same seed gives the same verdict.

Usage: ``python -m bench.fault_matrix [--seeds N] [--step NAME]
[--fault NAME]``. The last line is one JSON object.
"""

from __future__ import annotations

from argparse import ArgumentParser
from argparse import Namespace
from collections.abc import Iterator
from dataclasses import dataclass
from importlib import import_module
from itertools import combinations
import json
from multiprocessing import Pool
import sys
import zlib

from bench.faults import Fault
from bench.faults import FAULTS
from bench.group import Group
from bench.steps import Step
from bench.steps import STEPS

MORE_STEPS: tuple[str, ...] = ('bench.state_steps',)
ELECTION_LIMIT_S = 10.0
FINISH_LIMIT_S = 40.0
ATTEMPT_S = 0.3
FAULT_MIN_S = 0.5
FAULT_MAX_S = 3.5


@dataclass(frozen=True, slots=True)
class Column:
    """Faults that are present together, and how many times in turn."""

    faults: tuple[str, ...]
    times: int = 1

    def __str__(self) -> str:
        text = ' + '.join(self.faults)
        return text if self.times == 1 else f'{text} twice'


@dataclass(frozen=True, slots=True)
class Cell:
    """One run; ``problem`` is empty if it passed."""

    step: str
    column: Column
    seed: int
    problem: str


def generate_columns() -> Iterator[Column]:
    for name in FAULTS:
        yield Column((name,))
    for name in FAULTS:
        yield Column((name,), times=2)
    for two in combinations(FAULTS, 2):
        yield Column(two)


def run_cell(step: str, column: Column, seed: int) -> Cell:
    """Run one cell and name what went wrong."""
    mixed = zlib.crc32(f'{step}/{column}/{seed}'.encode())
    cls = STEPS[step]
    group = Group(mixed, machine=cls.machine)
    try:
        _run(group, cls(group), column)
    except Exception as exc:
        # Any error of a member is a failed cell, with its text.
        problem = f'{type(exc).__name__}: {exc}'
        return Cell(step, column, seed, problem[:300])
    return Cell(step, column, seed, '')


def _run(group: Group, step: Step, column: Column) -> None:
    _expect(
        group.run_until(
            lambda: group.find_leader() is not None, limit_s=ELECTION_LIMIT_S
        ),
        'no first leader',
    )
    step.prepare()
    _expect(
        group.run_until(
            lambda: group.find_leader() is not None, limit_s=ELECTION_LIMIT_S
        ),
        'no leader before the step',
    )
    # Half of the steps begin with the fault already there.
    faults = _start(group, column) if group.rng.random() < 0.5 else []
    step.begin()
    for _ in range(column.times):
        if not faults:
            group.run(group.rng.uniform(0, 0.4))
            faults = _start(group, column)
        _attempt_for(group, step, group.rng.uniform(FAULT_MIN_S, FAULT_MAX_S))
        _stop(group, faults)
        faults = []
    _expect(_drive(group, step, FINISH_LIMIT_S), 'the step did not end')
    group.callers_active = False
    _expect(
        group.run_until(group.has_converged, limit_s=FINISH_LIMIT_S),
        'the members did not converge',
    )
    group.check()
    step.check()


def _start(group: Group, column: Column) -> list[Fault]:
    """Let the faults begin, at the same moment or one after another."""
    found = [FAULTS[name](group) for name in column.faults]
    gap = group.rng.choice((0.0, 0.0, 0.1, 1.0))
    for position, fault in enumerate(found):
        if position:
            group.run(gap)
        fault.start()
    return found


def _stop(group: Group, faults: list[Fault]) -> None:
    for fault in faults:
        fault.stop()
        group.run(group.rng.uniform(0, 0.2))


def _attempt_for(group: Group, step: Step, seconds: float) -> None:
    end = group.now + seconds
    while group.now < end:
        step.attempt()
        group.run(min(ATTEMPT_S, end - group.now))


def _drive(group: Group, step: Step, limit_s: float) -> bool:
    end = group.now + limit_s
    while not step.is_done():
        if group.now >= end:
            return False
        _attempt_for(group, step, ATTEMPT_S)
    return True


def _expect(held: bool, problem: str) -> None:
    if not held:
        raise TimeoutError(problem)


# --- table ------------------------------------------------------------------


def _summary(cells: list[Cell]) -> str:
    passed = sum(1 for one in cells if not one.problem)
    return f'{passed}/{len(cells)}'


def _print_table(cells: list[Cell]) -> None:
    width = max(len(name) for name in STEPS) + 2
    names = list(FAULTS)
    for number, name in enumerate(names, 1):
        print(f'F{number}: {name}')
    heads = [f'F{i + 1}' for i in range(len(names))]
    print('step'.ljust(width) + ''.join(h.rjust(6) for h in heads), end='')
    print('twice'.rjust(9) + 'pairs'.rjust(11))
    for step in STEPS:
        mine = [one for one in cells if one.step == step]
        if mine:
            print(step.ljust(width) + _row(mine, names))


def _row(cells: list[Cell], names: list[str]) -> str:
    text = ''
    for name in names:
        single = [one for one in cells if one.column == Column((name,))]
        text += _summary(single).rjust(6)
    twice = [one for one in cells if one.column.times == 2]
    pairs = [one for one in cells if len(one.column.faults) == 2]
    return text + _summary(twice).rjust(9) + _summary(pairs).rjust(11)


def _arguments(argv: list[str]) -> Namespace:
    parser = ArgumentParser(description='Run the fault matrix.')
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--jobs', type=int, default=4, help='processes')
    parser.add_argument('--step', default='', help='only this step')
    parser.add_argument('--fault', default='', help='only with this fault')
    return parser.parse_args(argv)


def _plan(args: Namespace) -> list[tuple[str, Column, int]]:
    return [
        (step, column, seed)
        for step in STEPS
        if args.step in ('', step)
        for column in generate_columns()
        if not args.fault or args.fault in column.faults
        for seed in range(1, args.seeds + 1)
    ]


def main(argv: list[str]) -> int:
    for name in MORE_STEPS:
        import_module(name)
    args = _arguments(argv)
    with Pool(args.jobs) as pool:
        cells = pool.starmap(run_cell, _plan(args), chunksize=8)
    _print_table(cells)
    failed = [one for one in cells if one.problem]
    for one in failed:
        print(
            f'FAILED {one.step} / {one.column} / seed {one.seed}: '
            f'{one.problem}'
        )
    result = {
        'cells': len(cells),
        'passed': len(cells) - len(failed),
        'failed': len(failed),
        'steps': len(STEPS),
        'faults': len(FAULTS),
        'seeds': args.seeds,
    }
    print(json.dumps(result))
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
