"""Tests of refused commands and of the answers to repeated commands."""

from __future__ import annotations

from typing import Any

import pytest

from galenareel._common.messages import ClaimReply
from galenareel._common.messages import Done
from galenareel._common.rows import Phase
from galenareel._common.rows import Stage
from galenareel._common.rows import StoredAnswer
from galenareel._common.sentinels import Refused
from galenareel._state import commands as c
from galenareel._state.commands import AnyCommand
from galenareel._state.history import History
from galenareel._state.tables import ChangedKeys
from testing.state.builders import CommandLog
from testing.state.builders import make_environment
from testing.state.builders import make_ready_log
from testing.state.builders import make_register
from testing.state.builders import make_submit

INSTANCE = 'a/lots-1'


def refusal_reason(result: Any) -> str:
    assert isinstance(result, Refused), result
    return result.reason


def make_move(target: str = 'office', epoch: int = 1) -> c.BeginMove:
    return c.BeginMove(
        instance=INSTANCE, epoch=epoch, target=target, reason='t'
    )


def make_maintenance() -> c.BeginMaintenance:
    return c.BeginMaintenance(
        now=2.0, instance=INSTANCE, epoch=1, wave='w1', reason='t'
    )


@pytest.mark.parametrize(
    ('begin', 'command'),
    [
        (None, make_move()),
        (None, make_maintenance()),
        (None, c.MarkLost(now=2.0, instance=INSTANCE, epoch=1, reason='t')),
        (None, c.EjectInstance(instance=INSTANCE, epoch=1, reason='t')),
        (None, c.AssignHome(instance=INSTANCE, home_epoch=0, home='ea')),
        (make_move(), c.FinishMove(instance=INSTANCE, epoch=1, home_epoch=0)),
        (make_move(), c.AbortMove(instance=INSTANCE, epoch=1, reason='t')),
        (
            make_maintenance(),
            c.StartReboot(now=2.0, instance=INSTANCE, epoch=1, home_epoch=0),
        ),
    ],
)
def test_commands_for_a_cut_off_zone_are_refused(
    begin: AnyCommand | None, command: AnyCommand
) -> None:
    """Guards against commands proposed before the zone was cut off."""
    log = make_ready_log()
    if begin is not None:
        log.apply_all(begin)
    log.apply_all(c.SetZoneCut(zone='a', cut=True))
    assert refusal_reason(log.apply(command)) == 'zone_cut_off'


@pytest.mark.parametrize('begin', [make_move(), make_maintenance()])
def test_drain_reported_by_a_former_home_is_refused(begin: AnyCommand) -> None:
    """Guards against a move while the current home still sends requests."""
    log = make_ready_log()
    log.apply_all(
        begin, c.AssignHome(instance=INSTANCE, home_epoch=0, home='ea')
    )
    late: dict[str, Any] = {'instance': INSTANCE, 'epoch': 1, 'home_epoch': 0}
    command: AnyCommand = c.FinishMove(**late)
    if isinstance(begin, c.BeginMaintenance):
        command = c.StartReboot(now=2.0, **late)
    assert refusal_reason(log.apply(command)) == 'stale_home'


def test_maintenance_finishes_only_with_a_new_incarnation() -> None:
    """Guards against a wave that counts instances that never rebooted."""
    log = make_ready_log()
    log.apply_all(
        make_maintenance(),
        c.StartReboot(now=2.0, instance=INSTANCE, epoch=1, home_epoch=0),
    )
    finish = c.FinishMaintenance(now=3.0, instance=INSTANCE, epoch=1)
    assert refusal_reason(log.apply(finish)) == 'not_rebooted'


def test_departure_for_the_reboot_does_not_end_maintenance() -> None:
    """Guards against a wave that counts its own reboots as failures."""
    log = make_ready_log()
    log.apply_all(
        make_maintenance(),
        c.StartReboot(now=2.0, instance=INSTANCE, epoch=1, home_epoch=0),
        c.MarkLeft(now=2.5, instance=INSTANCE, incarnation='i1'),
        make_register(INSTANCE, incarnation='i2'),
        c.FinishMaintenance(now=3.0, instance=INSTANCE, epoch=2),
    )
    assert log.state.waves['w1'].done == (INSTANCE,)


def test_wave_includes_lent_instances() -> None:
    """Guards against lent instances that no wave maintains."""
    log = make_ready_log()
    log.apply_all(
        make_move(),
        c.FinishMove(instance=INSTANCE, epoch=1, home_epoch=0),
        c.BeginWave(now=2.0, wave='w2', pools=('lots',)),
    )
    assert log.state.instances[INSTANCE].pool != 'lots'
    assert INSTANCE in log.state.waves['w2'].targets


def test_instance_is_maintained_once_per_wave() -> None:
    """Guards against a wave that reboots an instance again and again."""
    log = make_ready_log()
    log.apply_all(
        make_maintenance(),
        c.StartReboot(now=2.0, instance=INSTANCE, epoch=1, home_epoch=0),
        make_register(INSTANCE, incarnation='i2'),
        c.FinishMaintenance(now=3.0, instance=INSTANCE, epoch=2),
    )
    again = c.BeginMaintenance(
        now=4.0, instance=INSTANCE, epoch=3, wave='w1', reason='t'
    )
    assert refusal_reason(log.apply(again)) == 'already_maintained'


def test_home_is_not_taken_from_a_live_entry() -> None:
    """Guards against two homes that both lease out the same slots."""
    log = make_ready_log()
    other = c.RegisterEntry(
        entry='ea2', zone='a', frames='x:1', incarnation='1'
    )
    log.apply_all(
        other, c.AssignHome(instance=INSTANCE, home_epoch=0, home='ea')
    )
    assign = c.AssignHome(instance=INSTANCE, home_epoch=1, home='ea2')
    assert refusal_reason(log.apply(assign)) == 'home_not_released'


def make_handover_log() -> CommandLog:
    log = make_ready_log()
    log.apply_all(
        c.RegisterEntry(entry='ea2', zone='a', frames='x:1', incarnation='1'),
        c.AssignHome(instance=INSTANCE, home_epoch=0, home='ea'),
        c.BeginHandover(instance=INSTANCE, home_epoch=1, home='ea2'),
    )
    return log


def test_next_home_gets_an_instance_only_after_its_release() -> None:
    """Guards against a next home that leases slots before the release."""
    log = make_handover_log()
    early = c.AssignHome(instance=INSTANCE, home_epoch=1, home='ea2')
    assert refusal_reason(log.apply(early)) == 'home_not_released'
    log.apply_all(
        c.AssignHome(
            instance=INSTANCE, home_epoch=1, home='ea2', released=True
        )
    )
    row = log.state.instances[INSTANCE]
    assert (row.home, row.home_epoch, row.next_home) == ('ea2', 2, '')


def test_release_of_an_aborted_handover_is_refused() -> None:
    """Guards against two homes after a release that arrives late."""
    log = make_handover_log()
    log.apply_all(c.AssignHome(instance=INSTANCE, home_epoch=1, home='ea'))
    assert log.state.instances[INSTANCE].next_home == ''
    late = c.AssignHome(
        instance=INSTANCE, home_epoch=1, home='ea2', released=True
    )
    assert refusal_reason(log.apply(late)) == 'stale_epoch'
    without = c.AssignHome(
        instance=INSTANCE, home_epoch=2, home='ea2', released=True
    )
    assert refusal_reason(log.apply(without)) == 'home_not_released'


def test_budget_includes_the_loss_of_the_largest_rack() -> None:
    """Guards against planned work that leaves no reserve for a lost rack."""
    log = CommandLog()
    document = make_environment(budget=2, rack=True)
    promote = c.PromoteDocument(now=1.0, version=1, digest='d')
    log.apply_all(make_submit(document), promote)
    for number, rack in enumerate(['r1', 'r1', 'r1', 'r1', 'r2', 'r2']):
        log.apply_all(make_register(f'a/lots-{number}', rack=rack))

    def eject(number: int) -> Any:
        name = f'a/lots-{number}'
        return log.apply(c.EjectInstance(instance=name, epoch=1, reason='t'))

    assert refusal_reason(eject(4)) == 'budget'
    assert isinstance(eject(0), Done)


def test_operators_race_with_equal_versions() -> None:
    """Guards against promoting another operator's text of the same version."""
    log = make_ready_log()
    first = log.apply(make_submit(make_environment(2, replaces=1), 'mine'))
    lost = log.apply(make_submit(make_environment(2, replaces=1), 'theirs'))
    assert refusal_reason(lost) == 'conflict'
    assert 'mine' in lost.detail
    wrong = c.PromoteDocument(now=2.0, version=2, digest='theirs')
    assert refusal_reason(log.apply(wrong)) == 'conflict'
    right = c.PromoteDocument(now=2.0, version=2, digest='mine')
    promoted = log.apply(right)
    log.apply_all(make_submit(make_environment(3, replaces=2), 'next'))
    log.apply_all(c.PromoteDocument(now=3.0, version=3, digest='next'))
    assert (
        log.apply(make_submit(make_environment(2, replaces=1), 'mine'))
        == first
    )
    assert log.apply(right) == promoted
    assert log.state.in_force is not None
    assert log.state.in_force.version == 3
    assert log.state.documents[2].row.stage is Stage.SUPERSEDED


def test_promotion_of_an_outdated_trial_is_refused() -> None:
    """Guards against undoing a promotion that the author has not seen."""
    log = make_ready_log()
    log.apply_all(make_submit(make_environment(2, replaces=1)))
    log.apply_all(make_submit(make_environment(3, replaces=1)))
    log.apply_all(c.PromoteDocument(now=2.0, version=2, digest='d'))
    late = c.PromoteDocument(now=2.0, version=3, digest='d')
    assert isinstance(log.apply(late), Refused)


def test_epoch_increases_after_a_row_was_forgotten() -> None:
    """Guards against an earlier drain that is counted for the new row."""
    log = make_ready_log()
    log.apply_all(
        c.MarkLost(now=2.0, instance=INSTANCE, epoch=1, reason='t'),
        c.ForgetInstance(instance=INSTANCE, epoch=2),
        make_register(INSTANCE),
    )
    assert log.state.instances[INSTANCE].epoch == 3


def test_move_continues_with_a_new_epoch_after_a_restart() -> None:
    """Guards against a drain of the former process that ends the move."""
    log = make_ready_log()
    log.apply_all(make_move(), make_register(INSTANCE, incarnation='i2'))
    row = log.state.instances[INSTANCE]
    assert (row.phase, row.epoch) == (Phase.DRAINING, 2)
    late = c.FinishMove(instance=INSTANCE, epoch=1, home_epoch=0)
    assert refusal_reason(log.apply(late)) == 'stale_epoch'


def test_late_announcement_does_not_undo_a_departure() -> None:
    """Guards against work for a process that has announced its departure."""
    log = make_ready_log()
    log.apply_all(c.MarkLeft(now=2.0, instance=INSTANCE, incarnation='i1'))
    assert refusal_reason(log.apply(make_register(INSTANCE))) == 'left'


def claim(
    log: CommandLog, key: str, *, holder: str = 'h', now: float = 2.0
) -> Any:
    return log.apply(
        c.ClaimKey(now=now, key=key, caller='c', digest='d', holder=holder)
    )


def test_claim_is_not_granted_again_until_it_expires() -> None:
    """Guards against requests that run twice and keys that stay blocked."""
    log = make_ready_log()
    assert claim(log, 'k') == ClaimReply(state='granted')
    assert claim(log, 'k') == ClaimReply(state='running')
    answer = StoredAnswer(status=200, body=b'sold')
    settle = c.SettleKey(
        now=3.0,
        key='k',
        caller='c',
        holder='h',
        state='answered',
        answer=answer,
    )
    log.apply_all(settle, settle)
    repeat = claim(log, 'k', holder='other', now=602.0)
    assert repeat == ClaimReply(state='answered', answer=answer)
    assert claim(log, 'k', now=603.0) == ClaimReply(state='granted')
    assert log.state.tables.answer_bytes == 0


def test_number_of_claims_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against keyed requests that fill the memory of control."""
    monkeypatch.setattr('galenareel._state.claims.MAX_CLAIMS', 3)
    log = make_ready_log()
    for number in range(3):
        claim(log, str(number))
    assert refusal_reason(claim(log, 'one more')) == 'claims_full'
    log.apply_all(c.ExpireClaims(now=700.0))
    assert claim(log, 'one more', now=700.0).state == 'granted'


def test_compacted_history_asks_for_the_whole_view() -> None:
    """Guards against a delta that lacks changes the history has removed."""
    history = History(10, max_changes=2)
    for index in (11, 13, 17):
        history.add(index, ChangedKeys(instances={str(index)}))
    assert history.collect_since(10) is None
    assert history.collect_since(18) is None
    changed = history.collect_since(11)
    assert changed is not None
    assert changed.instances == {'13', '17'}
