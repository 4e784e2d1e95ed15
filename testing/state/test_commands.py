"""Commands that must be refused, and answers that must be the first again."""

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

ONE = 'a/lots-1'


def reason(result: Any) -> str:
    assert isinstance(result, Refused), result
    return result.reason


def move(target: str = 'office', epoch: int = 1) -> c.BeginMove:
    return c.BeginMove(instance=ONE, epoch=epoch, target=target, reason='t')


def maintain() -> c.BeginMaintenance:
    return c.BeginMaintenance(
        now=2.0, instance=ONE, epoch=1, wave='w1', reason='t'
    )


@pytest.mark.parametrize(
    ('begin', 'command'),
    [
        (None, move()),
        (None, maintain()),
        (None, c.MarkLost(now=2.0, instance=ONE, epoch=1, reason='t')),
        (None, c.EjectInstance(instance=ONE, epoch=1, reason='t')),
        (None, c.AssignHome(instance=ONE, home_epoch=0, home='ea')),
        (move(), c.FinishMove(instance=ONE, epoch=1, home_epoch=0)),
        (move(), c.AbortMove(instance=ONE, epoch=1, reason='t')),
        (
            maintain(),
            c.StartReboot(now=2.0, instance=ONE, epoch=1, home_epoch=0),
        ),
    ],
)
def test_cut_off_zone_is_not_touched(
    begin: AnyCommand | None, command: AnyCommand
) -> None:
    """Guards against a leader whose sessions changed while it proposed."""
    log = make_ready_log()
    if begin is not None:
        log.apply_all(begin)
    log.apply_all(c.SetZoneCut(zone='a', cut=True))
    assert reason(log.run(command)) == 'zone_cut_off'


@pytest.mark.parametrize('begin', [move(), maintain()])
def test_former_home_can_not_finish_a_drain(begin: AnyCommand) -> None:
    """Guards against a drain that the present home has not seen."""
    log = make_ready_log()
    log.apply_all(begin, c.AssignHome(instance=ONE, home_epoch=0, home='ea'))
    late: dict[str, Any] = {'instance': ONE, 'epoch': 1, 'home_epoch': 0}
    command: AnyCommand = c.FinishMove(**late)
    if isinstance(begin, c.BeginMaintenance):
        command = c.StartReboot(now=2.0, **late)
    assert reason(log.run(command)) == 'stale_home'


def test_reboot_needs_a_new_incarnation() -> None:
    """Guards against a wave that counts instances that never rebooted."""
    log = make_ready_log()
    log.apply_all(
        maintain(),
        c.StartReboot(now=2.0, instance=ONE, epoch=1, home_epoch=0),
    )
    finish = c.FinishMaintenance(now=3.0, instance=ONE, epoch=1)
    assert reason(log.run(finish)) == 'not_rebooted'


def test_leaving_for_the_reboot_does_not_end_maintenance() -> None:
    """Guards against a wave that takes its own reboots for failures."""
    log = make_ready_log()
    log.apply_all(
        maintain(),
        c.StartReboot(now=2.0, instance=ONE, epoch=1, home_epoch=0),
        c.MarkLeft(now=2.5, instance=ONE, incarnation='i1'),
        make_register(ONE, incarnation='i2'),
        c.FinishMaintenance(now=3.0, instance=ONE, epoch=2),
    )
    assert log.state.waves['w1'].done == (ONE,)


def test_wave_includes_what_its_pools_have_lent() -> None:
    """Guards against instances that no wave ever maintains."""
    log = make_ready_log()
    log.apply_all(
        move(),
        c.FinishMove(instance=ONE, epoch=1, home_epoch=0),
        c.BeginWave(now=2.0, wave='w2', pools=('lots',)),
    )
    assert log.state.instances[ONE].pool != 'lots'
    assert ONE in log.state.waves['w2'].targets


def test_instance_is_maintained_once_a_wave() -> None:
    log = make_ready_log()
    log.apply_all(
        maintain(),
        c.StartReboot(now=2.0, instance=ONE, epoch=1, home_epoch=0),
        make_register(ONE, incarnation='i2'),
        c.FinishMaintenance(now=3.0, instance=ONE, epoch=2),
    )
    again = c.BeginMaintenance(
        now=4.0, instance=ONE, epoch=3, wave='w1', reason='t'
    )
    assert reason(log.run(again)) == 'already_maintained'


def test_home_is_not_taken_from_a_live_entry() -> None:
    """Guards against two homes that both count the same slots."""
    log = make_ready_log()
    other = c.RegisterEntry(
        entry='ea2', zone='a', frames='x:1', incarnation='1'
    )
    log.apply_all(other, c.AssignHome(instance=ONE, home_epoch=0, home='ea'))
    take = c.AssignHome(instance=ONE, home_epoch=1, home='ea2')
    assert reason(log.run(take)) == 'home_not_released'


def handover_log() -> CommandLog:
    log = make_ready_log()
    log.apply_all(
        c.RegisterEntry(entry='ea2', zone='a', frames='x:1', incarnation='1'),
        c.AssignHome(instance=ONE, home_epoch=0, home='ea'),
        c.BeginHandover(instance=ONE, home_epoch=1, home='ea2'),
    )
    return log


def test_home_is_handed_over_when_it_is_released() -> None:
    """Guards against a next home that is given work too early."""
    log = handover_log()
    early = c.AssignHome(instance=ONE, home_epoch=1, home='ea2')
    assert reason(log.run(early)) == 'home_not_released'
    log.apply_all(
        c.AssignHome(instance=ONE, home_epoch=1, home='ea2', released=True)
    )
    row = log.state.instances[ONE]
    assert (row.home, row.home_epoch, row.next_home) == ('ea2', 2, '')


def test_release_of_an_ended_handover_does_not_count() -> None:
    """Guards against two homes after a late release."""
    log = handover_log()
    log.apply_all(c.AssignHome(instance=ONE, home_epoch=1, home='ea'))
    assert log.state.instances[ONE].next_home == ''
    late = c.AssignHome(instance=ONE, home_epoch=1, home='ea2', released=True)
    assert reason(log.run(late)) == 'stale_epoch'
    without = c.AssignHome(
        instance=ONE, home_epoch=2, home='ea2', released=True
    )
    assert reason(log.run(without)) == 'home_not_released'


def test_rack_reserve_is_part_of_the_budget() -> None:
    """Guards against budgets that the first lost rack breaks."""
    log = CommandLog()
    document = make_environment(budget=2, rack=True)
    promote = c.PromoteDocument(now=1.0, version=1, digest='d')
    log.apply_all(make_submit(document), promote)
    for number, rack in enumerate(['r1', 'r1', 'r1', 'r1', 'r2', 'r2']):
        log.apply_all(make_register(f'a/lots-{number}', rack=rack))

    def eject(number: int) -> Any:
        name = f'a/lots-{number}'
        return log.run(c.EjectInstance(instance=name, epoch=1, reason='t'))

    assert reason(eject(4)) == 'budget'
    assert isinstance(eject(0), Done)


def test_operators_race_with_equal_versions() -> None:
    """Guards against an operator who takes another's document for his."""
    log = make_ready_log()
    first = log.run(make_submit(make_environment(2, replaces=1), 'mine'))
    lost = log.run(make_submit(make_environment(2, replaces=1), 'theirs'))
    assert reason(lost) == 'conflict'
    assert 'mine' in lost.detail
    wrong = c.PromoteDocument(now=2.0, version=2, digest='theirs')
    assert reason(log.run(wrong)) == 'conflict'
    right = c.PromoteDocument(now=2.0, version=2, digest='mine')
    promoted = log.run(right)
    log.apply_all(make_submit(make_environment(3, replaces=2), 'next'))
    log.apply_all(c.PromoteDocument(now=3.0, version=3, digest='next'))
    assert (
        log.run(make_submit(make_environment(2, replaces=1), 'mine')) == first
    )
    assert log.run(right) == promoted
    assert log.state.in_force is not None
    assert log.state.in_force.version == 3
    assert log.state.documents[2].row.stage is Stage.SUPERSEDED


def test_promotion_of_an_overtaken_trial_is_refused() -> None:
    """Guards against a promotion that undoes one its author has not seen."""
    log = make_ready_log()
    log.apply_all(make_submit(make_environment(2, replaces=1)))
    log.apply_all(make_submit(make_environment(3, replaces=1)))
    log.apply_all(c.PromoteDocument(now=2.0, version=2, digest='d'))
    late = c.PromoteDocument(now=2.0, version=3, digest='d')
    assert isinstance(log.run(late), Refused)


def test_epoch_grows_over_a_forgotten_row() -> None:
    """Guards against a home that takes a new row for one it drained."""
    log = make_ready_log()
    log.apply_all(
        c.MarkLost(now=2.0, instance=ONE, epoch=1, reason='t'),
        c.ForgetInstance(instance=ONE, epoch=2),
        make_register(ONE),
    )
    assert log.state.instances[ONE].epoch == 3


def test_restarted_process_keeps_a_move_under_a_new_epoch() -> None:
    log = make_ready_log()
    log.apply_all(move(), make_register(ONE, incarnation='i2'))
    row = log.state.instances[ONE]
    assert (row.phase, row.epoch) == (Phase.DRAINING, 2)
    late = c.FinishMove(instance=ONE, epoch=1, home_epoch=0)
    assert reason(log.run(late)) == 'stale_epoch'


def test_late_announcement_does_not_undo_leaving() -> None:
    log = make_ready_log()
    log.apply_all(c.MarkLeft(now=2.0, instance=ONE, incarnation='i1'))
    assert reason(log.run(make_register(ONE))) == 'left'


def claim(
    log: CommandLog, key: str, *, holder: str = 'h', now: float = 2.0
) -> Any:
    return log.run(
        c.ClaimKey(now=now, key=key, caller='c', digest='d', holder=holder)
    )


def test_claim_lives_until_it_expires() -> None:
    """Guards against a request that runs twice, or never again."""
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


def test_claims_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against callers who fill the memory of control."""
    monkeypatch.setattr('galenareel._state.claims.MAX_CLAIMS', 3)
    log = make_ready_log()
    for number in range(3):
        claim(log, str(number))
    assert reason(claim(log, 'one more')) == 'claims_full'
    log.apply_all(c.ExpireClaims(now=700.0))
    assert claim(log, 'one more', now=700.0).state == 'granted'


def test_compacted_history_asks_for_the_whole_view() -> None:
    """Guards against an entry that skips changes it can't know of."""
    history = History(10, max_changes=2)
    for index in (11, 13, 17):
        history.add(index, ChangedKeys(instances={str(index)}))
    assert history.collect_since(10) is None
    assert history.collect_since(18) is None
    changed = history.collect_since(11)
    assert changed is not None
    assert changed.instances == {'13', '17'}
