"""Admission, placement and throttling of jobs, ejection, explanations."""

from __future__ import annotations

from galenareel._common.rows import Phase
from galenareel._common.rows import WaveState
from galenareel._decisions.admission import estimate_size
from galenareel._decisions.decisions import CheckpointJob
from galenareel._decisions.decisions import EjectInstance
from galenareel._decisions.decisions import LendInstance
from galenareel._decisions.decisions import ProbeInstance
from galenareel._decisions.decisions import RefuseJob
from galenareel._decisions.decisions import ReturnInstance
from galenareel._decisions.decisions import StartJob
from galenareel._decisions.decisions import StopJob
from galenareel._decisions.decisions import ThrottleJob
from galenareel._decisions.drains import estimate_remaining_s
from galenareel._decisions.explain import explain
from galenareel._decisions.tables import JobState
from galenareel._decisions.tables import Tables
from galenareel._decisions.tables import Team
from galenareel._decisions.tables import Wave
from galenareel._decisions.tick_context import TickContext
from galenareel._document.model import Urgency
from testing.decisions.builders import add_job
from testing.decisions.builders import make_fleet
from testing.decisions.builders import run_job
from testing.decisions.builders import run_peak
from testing.decisions.builders import run_tick
from testing.decisions.builders import select


def run_and_list_starts(tables: Tables, now: float = 100.0) -> list[str]:
    """Run a tick and return the jobs that it starts, in their order."""
    starts = select(run_tick(tables, now), StartJob)
    return [start.job for start in starts]


def test_a_job_that_can_never_run_gets_all_findings_at_once() -> None:
    """Guards against jobs that wait forever (fault F4)."""
    tables = make_fleet()
    add_job(tables, 'huge', size=20, team='nobody', submitted_at=1.0)
    add_job(tables, 'small', submitted_at=2.0)
    decisions = run_tick(tables)
    refusals = select(decisions, RefuseJob)
    assert [refusal.job for refusal in refusals] == ['huge']
    places = {finding.place for finding in refusals[0].findings}
    assert places == {'huge.size', 'huge.team'}
    assert [start.job for start in select(decisions, StartJob)] == ['small']


def test_a_job_that_does_not_fit_yet_does_not_block_others() -> None:
    """Guards against head-of-line blocking by a job larger than free slots."""
    tables = make_fleet()
    for name in tables.instances:
        if '/lots-' in name:
            run_job(tables, f'on {name}', name, size=4)
    add_job(tables, 'wide', size=6, submitted_at=1.0)
    add_job(tables, 'small', submitted_at=2.0)
    assert 'small' in run_and_list_starts(tables, 10.0)


def test_a_large_job_is_not_starved_by_small_ones() -> None:
    """Guards against small jobs that take each slot before a large job fits.

    An instance is reserved for a job that has fitted nowhere for long.
    """
    tables = make_fleet()
    for name in tables.instances:
        if '/lots-' in name:
            run_job(tables, f'on {name}', name, size=4)
    add_job(tables, 'wide', size=8, submitted_at=1.0)
    for number in range(100):
        add_job(tables, f'small-{number}', submitted_at=50.0)
    decisions = select(run_tick(tables), StartJob)
    assert len({start.instance for start in decisions}) == 5


def test_urgent_jobs_start_before_deferrable_ones() -> None:
    """Guards against a start order by submission time alone."""
    tables = make_fleet()
    for number in range(100):
        add_job(tables, f'later-{number}', submitted_at=1.0)
    add_job(tables, 'now', urgency=Urgency.URGENT, submitted_at=90.0)
    assert run_and_list_starts(tables)[0] == 'now'


def test_urgent_jobs_start_in_the_order_of_their_deadlines() -> None:
    """Guards against missed deadlines of jobs that were submitted later."""
    tables = make_fleet()
    fields = {'urgency': Urgency.URGENT}
    add_job(tables, 'early', submitted_at=1.0, deadline=300.0, **fields)
    add_job(tables, 'late', submitted_at=2.0, deadline=200.0, **fields)
    assert run_and_list_starts(tables) == ['late', 'early']


def test_a_team_at_its_quota_does_not_block_others() -> None:
    """Guards against a queue that stops at the first job over its quota."""
    tables = make_fleet()
    tables.teams['few'] = Team(name='few', slots=2)
    for number in range(4):
        add_job(tables, f'few-{number}', team='few', submitted_at=1.0)
    add_job(tables, 'other', submitted_at=2.0)
    assert run_and_list_starts(tables) == ['few-0', 'few-1', 'other']


def test_sizes_and_run_times_are_learned_from_what_jobs_did() -> None:
    """Guards against use of declarations that are far off (fault F3)."""
    tables = make_fleet()
    for number in range(5):
        done = add_job(tables, f'done-{number}', state=JobState.DONE)
        done.run_s, done.used_slots = 180.0, 2.0
    fresh = add_job(tables, 'fresh')
    run_tick(tables)
    ctx = TickContext(tables, 100.0)
    assert estimate_size(ctx, fresh) == 2
    assert 150.0 < estimate_remaining_s(ctx, fresh) < 190.0


def test_a_peak_takes_slots_of_deferrable_jobs_and_gives_them_back() -> None:
    """Guards against throttled jobs that stay throttled after a peak."""
    tables = make_fleet()
    names = [name for name in tables.instances if '/lots-' in name]
    for name in names:
        for number in range(8):
            run_job(tables, f'{number} on {name}', name)
    decisions = run_peak(tables, 'lots')
    throttled = select(decisions, ThrottleJob)
    assert len(throttled) == 12  # 6 instances hold 2 throttled jobs each
    assert select(decisions, CheckpointJob)
    for decision in throttled:
        tables.jobs[decision.job].state = JobState.THROTTLED
    tables.pools['lots'].load.arrival_rate = 0.0
    tables.pools['lots'].load.queued = 0
    tables.pools['lots'].load.reported_at = 110.0
    for lease in list(tables.leases.values()):
        if tables.jobs[lease.job].state is JobState.RUNNING:
            del tables.leases[lease.job]
    restored = select(run_tick(tables, 110.0), ThrottleJob)
    assert len([restore for restore in restored if restore.share == 1.0]) == 12


def test_cancelled_jobs_are_stopped_and_others_are_not() -> None:
    """Guards against slots that cancelled jobs still hold (fault F5)."""
    tables = make_fleet()
    for number in range(40):
        run_job(tables, f'job-{number}', 'z0/lots-0')
    for number in range(0, 40, 2):
        tables.jobs[f'job-{number}'].state = JobState.CANCELLED
    stopped = {stop.job for stop in select(run_tick(tables), StopJob)}
    assert stopped == {f'job-{number}' for number in range(0, 40, 2)}


def test_a_worker_that_fails_everything_is_ejected_and_probed() -> None:
    """Guards against an instance that fails all work it is given (fault F6).

    It returns after three probes, no earlier than 15 s after its ejection.
    """
    tables = make_fleet()
    row = tables.instances['z0/lots-0']
    row.failed = 5
    ejected = select(run_tick(tables, 100.0), EjectInstance)
    assert [decision.instance for decision in ejected] == ['z0/lots-0']
    row.phase, row.phase_since, row.failed = Phase.EJECTED, 100.0, 0
    probes, now = 0, 100.0
    while now < 160.0:
        now += 0.5
        row.finished = 0
        decisions = run_tick(tables, now)
        if select(decisions, ReturnInstance):
            break
        if select(decisions, ProbeInstance):
            probes += 1
            row.finished = 1
            decisions = run_tick(tables, now)
    assert probes == 3
    assert now - 100.0 >= 15.0


def test_a_failed_probe_resets_the_count_of_passed_probes() -> None:
    """Guards against the return of an instance that fails now and then."""
    tables = make_fleet()
    row = tables.instances['z0/lots-0']
    row.phase = Phase.EJECTED
    for turn in range(40):
        row.finished = int(turn % 3 != 2)
        row.failed = int(turn % 3 == 2)
        decisions = run_tick(tables, 100.0 + turn)
        assert not select(decisions, ReturnInstance)


def test_work_that_fails_everywhere_ejects_no_instance() -> None:
    """Guards against blaming instances for a fault of the service."""
    tables = make_fleet()
    for name, row in tables.instances.items():
        row.failed = 5 if '/lots-' in name else 0
    assert not select(run_tick(tables), EjectInstance)


def test_an_instance_that_cannot_be_ejected_is_probed() -> None:
    """Guards against a failing instance that never gets work again.

    The state machine found this.
    """
    tables = make_fleet()
    for name, row in tables.instances.items():
        row.failed = 3 if '/lots-' in name else 0
    add_job(tables, 'job')
    decisions = run_tick(tables, 100.0)
    assert not select(decisions, StartJob)
    assert len(select(decisions, ProbeInstance)) == 6
    for name, row in tables.instances.items():
        row.failed, row.finished = 0, int('/lots-' in name)
    assert select(run_tick(tables, 101.0), StartJob)


def test_a_job_that_failed_on_failing_instances_is_not_refused() -> None:
    """Guards against blaming a job for instances that fail everything."""
    tables = make_fleet()
    bad = ('z0/lots-0', 'z0/lots-1', 'z0/lots-2')
    for name in bad:
        tables.instances[name].phase = Phase.EJECTED
    add_job(tables, 'unlucky', failed_on=frozenset(bad))
    assert not select(run_tick(tables), RefuseJob)
    for name in bad:
        tables.instances[name].phase = Phase.SERVING
    assert select(run_tick(tables, 110.0), RefuseJob)


def test_a_job_goes_back_to_an_instance_that_has_recovered() -> None:
    """Guards against a job that waits forever beside a free instance.

    The state machine found this: the only free instance was excluded, since
    the job had failed on it once.
    """
    tables = make_fleet()
    for name, row in tables.instances.items():
        if '/lots-' in name and name != 'z0/lots-0':
            row.phase = Phase.LOST
    add_job(tables, 'job', failed_on=frozenset({'z0/lots-0'}))
    tables.jobs['job'].submitted_at = 90.0
    assert run_and_list_starts(tables, 100.0) == []
    assert run_and_list_starts(tables, 130.0) == ['job']


def test_long_jobs_without_checkpoints_avoid_a_wave() -> None:
    """Guards against jobs that a maintenance drain has to wait for."""
    tables = make_fleet()
    tables.waves['wave'] = Wave(name='wave', pools=('lots',))
    tables.waves['wave'].state = WaveState.PAUSED
    tables.waves['wave'].done.add('z0/lots-3')
    add_job(
        tables,
        'whole',
        checkpointable=False,
        declared_s=100.0,
        submitted_at=95.0,
    )
    starts = select(run_tick(tables), StartJob)
    assert [start.instance for start in starts] == ['z0/lots-3']


def test_explain_gives_the_reason_of_a_move_and_of_a_wait() -> None:
    """Guards against an explanation that lacks the reason.

    An unknown name must be answered with a sentence too.
    """
    tables = make_fleet()
    tables.teams['team'].slots = 0
    add_job(tables, 'stuck', size=0)
    add_job(tables, 'blocked', team='team', size=1)
    tables.teams['team'].slots = 1
    run_job(tables, 'holder', 'z0/lots-0')
    decisions = [(100.0, decision) for decision in run_peak(tables, 'lots')]
    moved = next(
        decision.instance
        for _, decision in decisions
        if isinstance(decision, LendInstance)
    )
    texts = explain(tables, decisions, moved, now=102.0)
    assert any('LendInstance: lots needs' in text for text in texts)
    texts = explain(tables, decisions, 'blocked', now=102.0)
    assert any('quota of team' in text for text in texts)
    assert 'no instance' in explain(tables, decisions, 'what', now=1.0)[0]
