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
from testing.decisions.building import add_job
from testing.decisions.building import fleet
from testing.decisions.building import of_type
from testing.decisions.building import peak
from testing.decisions.building import run_job
from testing.decisions.building import run_tick


def starts(tables: Tables, now: float = 100.0) -> list[str]:
    found = of_type(run_tick(tables, now), StartJob)
    return [one.job for one in found]


def test_a_job_that_can_never_run_gets_all_findings_at_once() -> None:
    tables = fleet()
    add_job(tables, 'huge', size=20, team='nobody', submitted_at=1.0)
    add_job(tables, 'small', submitted_at=2.0)
    decisions = run_tick(tables)
    refusals = of_type(decisions, RefuseJob)
    assert [one.job for one in refusals] == ['huge']
    places = {one.place for one in refusals[0].findings}
    assert places == {'huge.size', 'huge.team'}
    assert [one.job for one in of_type(decisions, StartJob)] == ['small']


def test_a_job_larger_than_the_room_holds_up_nobody() -> None:
    tables = fleet()
    for name in tables.instances:
        if '/lots-' in name:
            run_job(tables, f'on {name}', name, size=4)
    add_job(tables, 'wide', size=6, submitted_at=1.0)
    add_job(tables, 'small', submitted_at=2.0)
    assert 'small' in starts(tables, 10.0)


def test_a_large_job_is_not_starved_by_small_ones() -> None:
    """An instance is kept free for a job that fits nowhere for long."""
    tables = fleet()
    for name in tables.instances:
        if '/lots-' in name:
            run_job(tables, f'on {name}', name, size=4)
    add_job(tables, 'wide', size=8, submitted_at=1.0)
    for number in range(100):
        add_job(tables, f'small-{number}', submitted_at=50.0)
    decisions = of_type(run_tick(tables), StartJob)
    assert len({one.instance for one in decisions}) == 5


def test_urgent_jobs_start_before_deferrable_ones() -> None:
    tables = fleet()
    for number in range(100):
        add_job(tables, f'later-{number}', submitted_at=1.0)
    add_job(tables, 'now', urgency=Urgency.URGENT, submitted_at=90.0)
    assert starts(tables)[0] == 'now'


def test_urgent_jobs_start_in_the_order_of_their_deadlines() -> None:
    tables = fleet()
    fields = {'urgency': Urgency.URGENT}
    add_job(tables, 'early', submitted_at=1.0, deadline=300.0, **fields)
    add_job(tables, 'late', submitted_at=2.0, deadline=200.0, **fields)
    assert starts(tables) == ['late', 'early']


def test_a_team_at_its_quota_holds_up_nobody_else() -> None:
    tables = fleet()
    tables.teams['few'] = Team(name='few', slots=2)
    for number in range(4):
        add_job(tables, f'few-{number}', team='few', submitted_at=1.0)
    add_job(tables, 'other', submitted_at=2.0)
    assert starts(tables) == ['few-0', 'few-1', 'other']


def test_sizes_and_run_times_are_learned_from_what_jobs_did() -> None:
    """Guards against trust in declarations that are far off (F3)."""
    tables = fleet()
    for number in range(5):
        done = add_job(tables, f'done-{number}', state=JobState.DONE)
        done.run_s, done.used_slots = 180.0, 2.0
    fresh = add_job(tables, 'fresh')
    run_tick(tables)
    ctx = TickContext(tables, 100.0)
    assert estimate_size(ctx, fresh) == 2
    assert 150.0 < estimate_remaining_s(ctx, fresh) < 190.0


def test_a_peak_takes_slots_of_deferrable_jobs_and_gives_them_back() -> None:
    tables = fleet()
    names = [name for name in tables.instances if '/lots-' in name]
    for name in names:
        for number in range(8):
            run_job(tables, f'{number} on {name}', name)
    decisions = peak(tables, 'lots')
    throttled = of_type(decisions, ThrottleJob)
    assert len(throttled) == 12  # two to an instance keep their memory
    assert of_type(decisions, CheckpointJob)
    for one in throttled:
        tables.jobs[one.job].state = JobState.THROTTLED
    tables.pools['lots'].load.arrival_rate = 0.0
    tables.pools['lots'].load.queued = 0
    tables.pools['lots'].load.reported_at = 110.0
    for lease in list(tables.leases.values()):
        if tables.jobs[lease.job].state is JobState.RUNNING:
            del tables.leases[lease.job]
    given = of_type(run_tick(tables, 110.0), ThrottleJob)
    assert len([one for one in given if one.share == 1.0]) == 12


def test_cancelled_jobs_are_stopped_and_others_are_not() -> None:
    tables = fleet()
    for number in range(40):
        run_job(tables, f'job-{number}', 'z0/lots-0')
    for number in range(0, 40, 2):
        tables.jobs[f'job-{number}'].state = JobState.CANCELLED
    stopped = {one.job for one in of_type(run_tick(tables), StopJob)}
    assert stopped == {f'job-{number}' for number in range(0, 40, 2)}


def test_a_worker_that_fails_everything_is_ejected_and_probed() -> None:
    tables = fleet()
    row = tables.instances['z0/lots-0']
    row.failed = 5
    ejected = of_type(run_tick(tables, 100.0), EjectInstance)
    assert [one.instance for one in ejected] == ['z0/lots-0']
    row.phase, row.phase_since, row.failed = Phase.EJECTED, 100.0, 0
    probes, now = 0, 100.0
    while now < 160.0:
        now += 0.5
        row.finished = 0
        decisions = run_tick(tables, now)
        if of_type(decisions, ReturnInstance):
            break
        if of_type(decisions, ProbeInstance):
            probes += 1
            row.finished = 1
            decisions = run_tick(tables, now)
    assert probes == 3
    assert now - 100.0 >= 15.0


def test_a_failed_probe_starts_the_count_again() -> None:
    tables = fleet()
    row = tables.instances['z0/lots-0']
    row.phase = Phase.EJECTED
    for turn in range(40):
        row.finished = int(turn % 3 != 2)
        row.failed = int(turn % 3 == 2)
        decisions = run_tick(tables, 100.0 + turn)
        assert not of_type(decisions, ReturnInstance)


def test_a_service_whose_work_fails_everywhere_ejects_nobody() -> None:
    tables = fleet()
    for name, row in tables.instances.items():
        row.failed = 5 if '/lots-' in name else 0
    assert not of_type(run_tick(tables), EjectInstance)


def test_an_instance_that_can_not_be_ejected_is_probed() -> None:
    """Found by the state machine: it got no work for ever."""
    tables = fleet()
    for name, row in tables.instances.items():
        row.failed = 3 if '/lots-' in name else 0
    add_job(tables, 'job')
    decisions = run_tick(tables, 100.0)
    assert not of_type(decisions, StartJob)
    assert len(of_type(decisions, ProbeInstance)) == 6
    for name, row in tables.instances.items():
        row.failed, row.finished = 0, int('/lots-' in name)
    assert of_type(run_tick(tables, 101.0), StartJob)


def test_a_job_that_failed_on_bad_workers_is_not_refused() -> None:
    """Guards against blaming a job for workers that fail everything."""
    tables = fleet()
    bad = ('z0/lots-0', 'z0/lots-1', 'z0/lots-2')
    for name in bad:
        tables.instances[name].phase = Phase.EJECTED
    add_job(tables, 'unlucky', failed_on=frozenset(bad))
    assert not of_type(run_tick(tables), RefuseJob)
    for name in bad:
        tables.instances[name].phase = Phase.SERVING
    assert of_type(run_tick(tables, 110.0), RefuseJob)


def test_a_job_goes_back_to_an_instance_that_has_recovered() -> None:
    """Found by the state machine: the only free instance was ruled out."""
    tables = fleet()
    for name, row in tables.instances.items():
        if '/lots-' in name and name != 'z0/lots-0':
            row.phase = Phase.LOST
    add_job(tables, 'job', failed_on=frozenset({'z0/lots-0'}))
    tables.jobs['job'].submitted_at = 90.0
    assert starts(tables, 100.0) == []
    assert starts(tables, 130.0) == ['job']


def test_long_jobs_that_cannot_be_saved_avoid_a_wave() -> None:
    tables = fleet()
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
    found = of_type(run_tick(tables), StartJob)
    assert [one.instance for one in found] == ['z0/lots-3']


def test_explain_says_why() -> None:
    tables = fleet()
    tables.teams['team'].slots = 0
    add_job(tables, 'stuck', size=0)
    add_job(tables, 'blocked', team='team', size=1)
    tables.teams['team'].slots = 1
    run_job(tables, 'holder', 'z0/lots-0')
    decisions = [(100.0, one) for one in peak(tables, 'lots')]
    moved = next(
        one.instance for _, one in decisions if isinstance(one, LendInstance)
    )
    texts = explain(tables, decisions, moved, now=102.0)
    assert any('LendInstance: lots needs' in one for one in texts)
    texts = explain(tables, decisions, 'blocked', now=102.0)
    assert any('quota of team' in one for one in texts)
    assert 'no instance' in explain(tables, decisions, 'what', now=1.0)[0]
