"""The checker fails on a seeded violation of each kind, and only on it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from galenareel._document.reading import read_environment
from testing.standins.checker import check_records
from testing.standins.checker import Kill
from testing.standins.checker import Verdict
from testing.standins.records import Attempt
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import Outcome

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'abay.yaml'
DOCUMENT = read_environment(EXAMPLE.read_text())
ENTRY = '127.0.0.1:1'
INSTANCES = [one for pool in DOCUMENT.pools for one in pool.instances]
POOL_OF = {one: pool.name for pool in DOCUMENT.pools for one in pool.instances}


def note(
    at: float, kind: EventKind, instance: str, **fields: str
) -> BackendEvent:
    zone = instance.split('/')[0]
    rack = f'{zone}-{(int(instance[-2:]) - 1) // 4}'
    return BackendEvent(
        at=at, kind=kind, instance=instance, zone=zone, rack=rack, **fields
    )


def run(
    at: float,
    instance: str,
    token: str,
    *,
    until: float | None = None,
    service: str = 'lots',
    end: EventKind = EventKind.FINISHED,
    cause: str = '',
) -> list[BackendEvent]:
    ended = at + 0.5 if until is None else until
    first = note(at, EventKind.STARTED, instance, token=token, service=service)
    last = note(
        ended, end, instance, token=token, service=service, cause=cause
    )
    return [first, last]


def attempt(token: str, **fields: object) -> Attempt:
    values: dict[str, object] = {
        'token': token,
        'service': 'lots',
        'caller': 'broker-1',
        'entry': ENTRY,
        'sent_at': 10.0,
        'ended_at': 11.0,
        'outcome': Outcome.ANSWERED,
        'deadline_s': 5.0,
        'status': 200,
        'checksum': 'c',
        'expected': 'c',
        'version': '2',
        **fields,
    }
    return Attempt(**values)  # type: ignore[arg-type]


class Story:
    """Records without a violation, to which a test adds one."""

    def __init__(self) -> None:
        self.seen = [note(0.0, EventKind.READY, one) for one in INSTANCES]
        for number, one in enumerate(INSTANCES):
            service = POOL_OF[one]
            self.seen += run(1.0, one, f'a{number}', service=service)
            self.seen += run(90.0, one, f'z{number}', service=service)
        self.attempts = [attempt('ok')]
        self.seen += run(10.1, INSTANCES[0], 'ok')
        self.kills: list[Kill] = []

    def verdict(self) -> Verdict:
        return check_records(
            self.seen, self.attempts, DOCUMENT, kills=self.kills
        )


def wrong_body(story: Story) -> None:
    story.attempts.append(attempt('w', checksum='other'))


def mislabelled(story: Story) -> None:
    story.attempts.append(attempt('w', outcome=Outcome.MISLABELLED))


def refused_but_ran(story: Story) -> None:
    story.attempts.append(attempt('n', outcome=Outcome.NOT_RUN))
    story.seen += run(10.1, INSTANCES[1], 'n')


def ran_twice(story: Story) -> None:
    story.attempts.append(attempt('t'))
    story.seen += run(10.1, INSTANCES[1], 't')
    story.seen += run(10.2, INSTANCES[2], 't')


def cut_by_reboot(story: Story) -> None:
    story.attempts.append(attempt('c'))
    story.seen += run(
        10.1, INSTANCES[1], 'c', end=EventKind.CUT, cause='reboot'
    )


def cut_by_entry(story: Story) -> None:
    story.attempts.append(attempt('c', outcome=Outcome.UNKNOWN))
    story.seen += run(
        10.1, INSTANCES[1], 'c', end=EventKind.CUT, cause='peer_closed'
    )


def broken(story: Story) -> None:
    story.attempts.append(attempt('c', outcome=Outcome.BROKEN))


def late(story: Story) -> None:
    story.attempts.append(attempt('c', outcome=Outcome.BROKEN, ended_at=17.0))


def over_slots(story: Story) -> None:
    for number in range(9):
        story.seen += run(10.5, INSTANCES[1], f's{number}', until=10.9)


def refused_for_slots(story: Story) -> None:
    story.seen.append(note(10.5, EventKind.REFUSED, INSTANCES[1], token='r'))


def over_connections(story: Story) -> None:
    story.seen += [note(10.5, EventKind.OPENED, INSTANCES[1])] * 65


def worked_late(story: Story) -> None:
    story.seen.append(note(10.0, EventKind.LEAVING, INSTANCES[1]))
    story.seen += run(13.5, INSTANCES[1], 'l')


def two_pools(story: Story) -> None:
    story.seen += run(20.0, INSTANCES[1], 'p', until=22.0)
    story.seen += run(21.0, INSTANCES[1], 'q', service='office')
    story.seen += run(23.0, INSTANCES[1], 'r')


def rebooted_below_budget(story: Story) -> None:
    """5 of the pool's 6 instances are down at the same time."""
    for one in INSTANCES[:5]:
        story.seen.append(note(30.0, EventKind.DOWN, one, cause='reboot'))
        story.seen.append(note(31.0, EventKind.READY, one))


def lent_below_budget(story: Story) -> None:
    """3 of 4 in one rack go, so that the pool has 3 in two racks."""
    for number, one in enumerate(INSTANCES[:3]):
        token = f'b{number}'
        story.seen += run(30.0, one, token, service='catalogue')
        story.seen += run(32.0, one, f'{token}x', service='catalogue')
        story.seen += run(34.0, one, f'{token}y')


def reverted(story: Story) -> None:
    story.attempts.append(attempt('v', sent_at=12.0, version='1'))


@pytest.mark.parametrize(
    ('violate', 'name'),
    [
        (wrong_body, 'answers_wrong'),
        (mislabelled, 'answers_wrong'),
        (refused_but_ran, 'not_run_but_ran'),
        (ran_twice, 'ran_twice'),
        (cut_by_reboot, 'cut_in_flight'),
        (cut_by_entry, 'cut_in_flight'),
        (broken, 'cut_in_flight'),
        (late, 'late_answers'),
        (over_slots, 'slots_exceeded'),
        (refused_for_slots, 'slots_exceeded'),
        (over_connections, 'connections_exceeded'),
        (worked_late, 'work_after_leaving'),
        (two_pools, 'two_pools_at_once'),
        (rebooted_below_budget, 'budget_violations'),
        (lent_below_budget, 'budget_violations'),
        (reverted, 'versions_reverted'),
    ],
)
def test_violation_is_counted(
    violate: Callable[[Story], None], name: str
) -> None:
    """Guards against a checker that can't fail."""
    story = Story()
    violate(story)
    found = {key for key, n in story.verdict().count_violations().items() if n}
    assert found == {name}


def test_story_without_a_violation_passes() -> None:
    verdict = Story().verdict()
    assert not any(verdict.count_violations().values()), verdict.details
    assert (verdict.answers_whole, verdict.moves) == (1, 0)


def test_kill_and_deadline_are_reported_apart() -> None:
    """Guards against planned faults that hide or count as violations."""
    story = Story()
    cut_by_entry(story)
    broken(story)
    story.attempts[-1] = attempt('b', outcome=Outcome.BROKEN)
    story.kills.append(Kill(entry=ENTRY, at=10.5))
    verdict = story.verdict()
    assert (verdict.cut_by_kill, verdict.cut_in_flight) == (2, 0)
    story.kills.clear()
    story.attempts[1] = attempt('c', outcome=Outcome.UNKNOWN, deadline_s=0.6)
    verdict = story.verdict()
    assert (verdict.cut_by_deadline, verdict.cut_in_flight) == (1, 1)


def test_cut_belongs_to_the_attempt_before_it() -> None:
    """Guards against a resend that hides the deadline of the first."""
    story = Story()
    cut_by_entry(story)
    story.attempts[-1] = attempt('c', deadline_s=0.6, outcome=Outcome.UNKNOWN)
    story.attempts.append(attempt('c', sent_at=11.5, ended_at=11.6))
    verdict = story.verdict()
    assert (verdict.cut_by_deadline, verdict.cut_in_flight) == (1, 0)


def test_moves_are_counted_from_the_work() -> None:
    story = Story()
    story.seen += run(30.0, INSTANCES[0], 'm', service='office')
    assert story.verdict().moves == 2
