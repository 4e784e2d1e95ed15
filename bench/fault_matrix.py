"""Run every fault at every step of the replicated log and its state.

The rows come from the registry ``STEPS`` of :mod:`bench.steps`, the columns
from ``FAULTS`` of :mod:`bench.faults`: each fault alone, each fault twice,
and each pair of faults together. To add a step or fault, declare its class
with the decorator of its module, whose docstring lists what to implement.
``STEP_MODULES`` names the modules that register further steps, such as those
of the replicated state in :mod:`bench.state_steps`.

A cell runs a group of members on a simulated network, disk and clock while
callers read and write. It passes if, once the faults are removed, the step
completes and all members have applied the same entries; if no acknowledged
entry is lost, no committed entry changes and no term has two leaders; and if
the reads and writes are linearizable. The same seed gives the same result.

Usage: ``python -m bench.fault_matrix [--seeds N] [--jobs N] [--step NAME]
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

STEP_MODULES: tuple[str, ...] = ('bench.state_steps',)
ELECTION_TIMEOUT_S = 10.0
COMPLETION_TIMEOUT_S = 40.0
ATTEMPT_INTERVAL_S = 0.3
MIN_FAULT_S = 0.5
MAX_FAULT_S = 3.5


@dataclass(frozen=True, slots=True)
class Column:
    """Faults that are injected together.

    :param times: how many times they are injected in turn.
    """

    faults: tuple[str, ...]
    times: int = 1

    def __str__(self) -> str:
        text = ' + '.join(self.faults)
        return text if self.times == 1 else f'{text} twice'


@dataclass(frozen=True, slots=True)
class Cell:
    """Result of one run.

    :param problem: text of the error, or empty if the run passed.
    """

    step: str
    column: Column
    seed: int
    problem: str


def generate_columns() -> Iterator[Column]:
    """Generate the columns: single faults, faults twice, and pairs."""
    for name in FAULTS:
        yield Column((name,))
    for name in FAULTS:
        yield Column((name,), times=2)
    for pair in combinations(FAULTS, 2):
        yield Column(pair)


def run_cell(step: str, column: Column, seed: int) -> Cell:
    """Run one cell; an exception of any kind becomes its problem."""
    group_seed = zlib.crc32(f'{step}/{column}/{seed}'.encode())
    cls = STEPS[step]
    group = Group(group_seed, machine=cls.machine)
    try:
        _run(group, cls(group), column)
    except Exception as exc:
        # An error in the code of a member also fails the cell.
        problem = f'{type(exc).__name__}: {exc}'
        return Cell(step, column, seed, problem[:300])
    return Cell(step, column, seed, '')


def _run(group: Group, step: Step, column: Column) -> None:
    """Run the step under the faults and check the group afterwards.

    :raises TimeoutError: if no leader is elected, or the step doesn't
        complete or the members don't converge in time.
    :raises Violation: if a check of the group or of the step failed.
    """
    _require(
        group.run_until(
            lambda: group.find_leader() is not None, limit_s=ELECTION_TIMEOUT_S
        ),
        'no leader was elected at the start',
    )
    step.prepare()
    _require(
        group.run_until(
            lambda: group.find_leader() is not None, limit_s=ELECTION_TIMEOUT_S
        ),
        'no leader was elected before the step',
    )
    # In half of the runs the faults are injected before the step begins.
    faults = _start_faults(group, column) if group.rng.random() < 0.5 else []
    step.begin()
    for _ in range(column.times):
        if not faults:
            group.run(group.rng.uniform(0, 0.4))
            faults = _start_faults(group, column)
        _attempt_for(group, step, group.rng.uniform(MIN_FAULT_S, MAX_FAULT_S))
        _stop_faults(group, faults)
        faults = []
    _require(
        _run_until_done(group, step, COMPLETION_TIMEOUT_S),
        'the step did not complete',
    )
    group.callers_active = False
    _require(
        group.run_until(group.has_converged, limit_s=COMPLETION_TIMEOUT_S),
        'the members did not converge',
    )
    group.check()
    step.check()


def _start_faults(group: Group, column: Column) -> list[Fault]:
    """Inject the faults at once, or with a random gap between them."""
    faults = [FAULTS[name](group) for name in column.faults]
    gap_s = group.rng.choice((0.0, 0.0, 0.1, 1.0))
    for position, fault in enumerate(faults):
        if position:
            group.run(gap_s)
        fault.start()
    return faults


def _stop_faults(group: Group, faults: list[Fault]) -> None:
    for fault in faults:
        fault.stop()
        group.run(group.rng.uniform(0, 0.2))


def _attempt_for(group: Group, step: Step, duration_s: float) -> None:
    """Run the group and repeat the step's attempt at a fixed interval."""
    ends_at = group.now + duration_s
    while group.now < ends_at:
        step.attempt()
        group.run(min(ATTEMPT_INTERVAL_S, ends_at - group.now))


def _run_until_done(group: Group, step: Step, timeout_s: float) -> bool:
    """Repeat the step's attempt; return whether it completed in time."""
    ends_at = group.now + timeout_s
    while not step.is_done():
        if group.now >= ends_at:
            return False
        _attempt_for(group, step, ATTEMPT_INTERVAL_S)
    return True


def _require(is_met: bool, problem: str) -> None:
    if not is_met:
        raise TimeoutError(problem)


def _format_share(cells: list[Cell]) -> str:
    """Return the number of passed cells and of all cells, as in ``15/16``."""
    passed = sum(1 for cell in cells if not cell.problem)
    return f'{passed}/{len(cells)}'


def _print_table(cells: list[Cell]) -> None:
    width = max(len(name) for name in STEPS) + 2
    names = list(FAULTS)
    for number, name in enumerate(names, 1):
        print(f'F{number}: {name}')
    headings = [f'F{i + 1}' for i in range(len(names))]
    print('step'.ljust(width) + ''.join(h.rjust(6) for h in headings), end='')
    print('twice'.rjust(9) + 'pairs'.rjust(11))
    for step in STEPS:
        step_cells = [cell for cell in cells if cell.step == step]
        if step_cells:
            print(step.ljust(width) + _format_row(step_cells, names))


def _format_row(cells: list[Cell], names: list[str]) -> str:
    text = ''
    for name in names:
        single = [cell for cell in cells if cell.column == Column((name,))]
        text += _format_share(single).rjust(6)
    twice = [cell for cell in cells if cell.column.times == 2]
    pairs = [cell for cell in cells if len(cell.column.faults) == 2]
    return (
        text + _format_share(twice).rjust(9) + _format_share(pairs).rjust(11)
    )


def _parse_arguments(argv: list[str]) -> Namespace:
    parser = ArgumentParser(description='Run the fault matrix.')
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--jobs', type=int, default=4, help='processes')
    parser.add_argument('--step', default='', help='only this step')
    parser.add_argument('--fault', default='', help='only with this fault')
    return parser.parse_args(argv)


def _list_runs(args: Namespace) -> list[tuple[str, Column, int]]:
    """Return the step, column and seed of each cell to run."""
    return [
        (step, column, seed)
        for step in STEPS
        if args.step in ('', step)
        for column in generate_columns()
        if not args.fault or args.fault in column.faults
        for seed in range(1, args.seeds + 1)
    ]


def main(argv: list[str]) -> int:
    for name in STEP_MODULES:
        import_module(name)
    args = _parse_arguments(argv)
    with Pool(args.jobs) as pool:
        cells = pool.starmap(run_cell, _list_runs(args), chunksize=8)
    _print_table(cells)
    failed = [cell for cell in cells if cell.problem]
    for cell in failed:
        print(
            f'FAILED {cell.step} / {cell.column} / seed {cell.seed}: '
            f'{cell.problem}'
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
