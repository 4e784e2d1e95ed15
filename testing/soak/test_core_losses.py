"""Losses of cores as the soak draws and plays them, without processes.

Guards against losses that come too close for any system to recover, and
against a replaced core that others still reach or that is still named.
"""

from __future__ import annotations

from pathlib import Path
from random import Random
import sys
import time
from typing import Any

import gevent
from gevent.subprocess import Popen
import pytest

from soak import core_losses
from soak.core_losses import CATCH_UP_S
from soak.core_losses import CoreLosses
from soak.core_losses import draw_losses
from soak.core_losses import is_starting
from soak.faults import Faults
from soak.faults import Target
from soak.links import make_machine_links
from soak.promises import FaultFreeTimer
from soak.promises import PromiseChecker
from testing.standins.system import Machine
from testing.standins.system import System

CATCH_UP_SCALE = 0.1


class FakeSystem(System):
    """A system whose processes start at once; the first core leads."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, cores=3, fronts=1)
        self.started: list[tuple[float, str]] = []

    def start_machine(self, machine: Machine, **_options: Any) -> None:
        self.started.append((time.monotonic(), machine.name))
        self.get_data_folder(machine).mkdir(exist_ok=True)
        machine.starts += 1
        machine.log += b'event=started \n'


@pytest.fixture
def system(tmp_path: Path) -> FakeSystem:
    return FakeSystem(tmp_path)


@pytest.fixture
def target(system: FakeSystem) -> Target:
    checker = PromiseChecker(
        get_fault_free_s=lambda: 0.0, get_time=lambda: 0.0
    )
    target = Target(system, [], make_machine_links(system), checker, {}, {})
    for core in system.cores:
        target.start_machine(core)
    return target


def make_losses(target: Target) -> CoreLosses:
    timer = FaultFreeTimer()
    beside = Faults(target, Random(1), timer)
    return CoreLosses(target, Random(1), timer, beside=beside)


@pytest.fixture
def leaders(monkeypatch: pytest.MonkeyPatch) -> dict[str, bool]:
    """Whether the first core leads; fakes the question to the cores."""
    leaders = {'has_leader': True}

    def find_leader(system: System) -> Machine | None:
        return system.cores[0] if leaders['has_leader'] else None

    monkeypatch.setattr(core_losses, 'find_leader', find_leader)
    return leaders


def test_series_draw_each_kind_of_loss_of_leaders_and_others() -> None:
    losses = [loss for n in range(50) for loss in draw_losses(Random(n))]
    assert {(loss.kind, loss.hits_leader) for loss in losses} == {
        (kind, hits_leader)
        for kind in core_losses.KINDS
        for hits_leader in (True, False)
    }
    assert all(loss.gap_s <= CATCH_UP_S for loss in losses)


def test_series_is_drawn_alike_for_a_seed() -> None:
    assert draw_losses(Random(3)) == draw_losses(Random(3))


def test_replaced_core_is_gone_and_the_next_has_another_address(
    system: FakeSystem, target: Target
) -> None:
    lost = system.cores[0]
    folder = system.get_data_folder(lost)
    target.remove_core(lost, hangs=False)
    successor = target.add_core()
    system.refresh_addresses()
    assert not folder.exists()
    assert lost.ip not in {machine.ip for machine in system.iterate_machines()}
    assert successor.name != lost.name
    assert system.seeds == [core.control_address for core in system.cores]
    settings = system.get_settings_path(successor).read_text()
    assert lost.ip not in settings
    assert 'bootstrap = false' in settings
    ends = set(target.links)
    assert not any(lost.name in pair for pair in ends)
    for other in system.iterate_machines():
        if other is not successor:
            assert (other.name, successor.name) in ends
    for link in target.links.values():
        link.close()


@pytest.mark.parametrize('kind', sorted(set(core_losses.KINDS)))
def test_next_loss_waits_until_other_faults_are_over_and_made_good(
    target: Target,
    leaders: dict[str, bool],
    kind: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    catch_up_s = CATCH_UP_S * CATCH_UP_SCALE
    monkeypatch.setattr(core_losses, 'CATCH_UP_S', catch_up_s)
    monkeypatch.setattr(Machine, 'terminate', lambda *_: 0)
    losses = make_losses(target)
    loss = core_losses.Loss(kind, True, 0.0, False, 0.0, 0.01, 0.01, 0.0)
    assert leaders['has_leader']
    with losses._begin_fault('cut_off', harms_cores=True):
        playing = gevent.spawn(losses._play, loss)
        gevent.sleep(1.5 * catch_up_s)
        assert not playing.ready()
    ended_at = time.monotonic()
    playing.get()
    assert time.monotonic() >= ended_at + catch_up_s
    for link in target.links.values():
        link.close()


def test_other_faults_spare_the_cores_during_a_series(target: Target) -> None:
    faults = Faults(target, Random(1), FaultFreeTimer())
    target.core_harm.is_reserved = True
    with faults._begin_machine_fault('pause', role='core') as machine:
        assert machine is None
    assert {ends[0] for ends in faults._list_links()} == {'front-0'}
    target.core_harm.is_reserved = False
    with faults._begin_machine_fault('pause', role='core') as machine:
        assert machine is not None
    assert ('core-0', 'core-1') in faults._list_links()


@pytest.mark.parametrize('has_leader', [True, False])
def test_series_finds_that_nobody_leads_afterwards(
    target: Target,
    leaders: dict[str, bool],
    monkeypatch: pytest.MonkeyPatch,
    has_leader: bool,
) -> None:
    monkeypatch.setattr(core_losses, 'RECOVERY_S', 0.2)
    monkeypatch.setattr(core_losses, 'draw_losses', lambda _rng: [])
    leaders['has_leader'] = has_leader
    make_losses(target)._lose_cores()
    broken = [promise for promise, _ in target.checker.violations]
    assert broken == ([] if has_leader else ['led'])
    assert not target.core_harm.is_reserved


def test_next_loss_waits_for_a_core_that_is_still_starting(
    target: Target, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Load pattern: a busy machine, on which processes start slowly."""
    catch_up_s = CATCH_UP_S * CATCH_UP_SCALE
    monkeypatch.setattr(core_losses, 'CATCH_UP_S', catch_up_s)
    starting = [target.system.cores[2]]
    monkeypatch.setattr(core_losses, 'is_starting', starting.__contains__)
    target.core_harm.last_end = time.monotonic()
    waiting = gevent.spawn(make_losses(target)._wait_for_catch_up)
    gevent.sleep(1.5 * catch_up_s)
    assert not waiting.ready()
    starting.clear()
    started_at = time.monotonic()
    waiting.get()
    assert time.monotonic() >= started_at + catch_up_s


def test_core_that_was_killed_while_it_started_is_not_starting_for_good(
    target: Target,
) -> None:
    """Otherwise the next loss is waited for without end."""
    core = target.system.cores[0]
    core.log.clear()
    process = Popen([sys.executable, '-c', 'import time; time.sleep(60)'])
    core.process = process
    try:
        assert is_starting(core)
        core.starts += 1  # the one before it logged nothing
        core.log += b'event=started zone=a\n'
        assert not is_starting(core)
    finally:
        process.kill()
        process.wait()
