"""Losses of disks and machines, in any order, that a group has to bear.

``python -m bench.losses`` runs thousands of seeds.
"""

from __future__ import annotations

import pytest

from bench.losses import generate_steps
from bench.losses import LossyGroup
from bench.losses import run_steps
from bench.losses import Step
from bench.node import Node

PLANNED_REPLACEMENT = (
    Step('replace as planned', target=0.42, span=0.86, wait_s=1.0),
    Step('lose disk', target=0.309, span=0.08, wait_s=2.0),
)

DEPOSED_LEADER_ADDS_A_MEMBER = (
    Step('cut', target=0.083, span=0.74, wait_s=0.05),
    Step('lose disk', target=0.927, span=0.61, wait_s=2.0),
    Step('lose disk', target=0.807, span=0.25, wait_s=0.05),
    Step('split', target=0.092, span=0.3, wait_s=2.0),
)

PLANNED_REPLACEMENT_BEFORE_A_LOSS_OF_POWER = (
    Step('slow disks', target=0.92, span=0.88, wait_s=0.05),
    Step('replace as planned', target=0.26, span=0.13, wait_s=1.85),
    Step('lose power', target=0.2, span=0.27, wait_s=0.05),
)


@pytest.mark.parametrize('power', [False, True])
@pytest.mark.parametrize('size', [3, 4, 5, 6])
def test_losses_leave_a_majority(size: int, power: bool) -> None:
    losses = 2 if size >= 5 else 1
    problems = {
        seed: problem
        for seed in range(1, 13)
        if (
            problem := run_steps(
                generate_steps(seed, power=power),
                seed,
                size=size,
                losses=losses,
            )
        )
    }
    assert problems == {}


def test_disk_is_lost_as_a_replaced_member_stops() -> None:
    """Its successor has had the time to catch up."""
    assert not run_steps(PLANNED_REPLACEMENT, 17, size=3, losses=1)


def test_leader_and_power_are_lost_as_a_replaced_member_stops() -> None:
    """It ends once its removal is stored by those that are left."""
    steps = PLANNED_REPLACEMENT_BEFORE_A_LOSS_OF_POWER
    assert not run_steps(steps, 1, size=3, losses=1)


def test_losses_find_a_member_that_ends_before_its_removal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def hand_over(_group: LossyGroup, leader: Node, node: Node) -> bool:
        leader.hand_over_vote(node.name)
        return True

    monkeypatch.setattr(LossyGroup, '_remove_leaving', hand_over)
    steps = PLANNED_REPLACEMENT_BEFORE_A_LOSS_OF_POWER
    assert run_steps(steps, 1, size=3, losses=1) == 'no leader'


def test_member_joins_that_only_a_deposed_leader_has_added() -> None:
    """Its log lists it; the others list the disk that it lost before."""
    assert not run_steps(DEPOSED_LEADER_ADDS_A_MEMBER, 167, size=4, losses=1)


def test_losses_find_a_broken_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that a member that keeps its vote as it stops is found."""
    monkeypatch.setattr(Node, 'hand_over_vote', lambda _node, _name: None)
    problem = run_steps(PLANNED_REPLACEMENT, 17, size=3, losses=1)
    assert problem == 'no leader'
