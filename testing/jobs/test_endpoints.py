"""Jobs belong to the endpoint of their queue, not to its name.

Guards against accepted jobs that can't be read or cancelled any more after a
version of the configuration has given their queue another name.
"""

from __future__ import annotations

from collections.abc import Iterator
import io
import random

import gevent
from gevent.event import Event
import msgspec
import pytest

from galenareel._common.clock import SystemClock
from galenareel._common.log import Log
from galenareel._common.messages import JobAnswer
from galenareel._common.messages import JobCall
from galenareel._common.sentinels import Refused
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import Configure
from galenareel._jobs.commands import decode
from galenareel._jobs.commands import encode
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.config_changes import compare_configurations
from galenareel._jobs.model import Advice
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import Pool
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Step
from galenareel._jobs.model import Workspace
from galenareel._jobs.service import JobService
from galenareel._jobs.state import JobState
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.test_advice_peak import PeakHarness
from testing.jobs.test_leader import eventually
from testing.jobs.test_leader import RunningLeader
from testing.standins.worker import FakeWorker

PREFIXES = ('/v/', '/w/', '/x/')
POOLS = (Pool(name='lots'), Pool(name='other'), Pool(name='empty'))
LASTING = Step(count=2, cpu=1000, memory_mb=64, lasting=True)


def make_queue(
    name: str, prefix: str = '/v/', pool: str = 'empty', **more: object
) -> Queue:
    queue = Queue(name=name, host='h', prefix=prefix, pool=pool)
    return msgspec.structs.replace(queue, **more)


def make_config(version: int, *queues: Queue) -> Configuration:
    return Configuration(version, queues, POOLS)


class Service:
    """The service of one leader, and that of the next one."""

    def __init__(self, state: JobState | None = None) -> None:
        self.running = RunningLeader()
        if state is not None:
            self.running.state.restore(1, state.snapshot())
        self.running.start()
        eventually(lambda: self.running.leader.engine is not None)
        self.service = JobService(
            state=self.running.state,
            leader=self.running.leader,
            leader_address=lambda: 'a:1',
            clock=SystemClock(),
            log=Log('test', stream=io.StringIO()),
        )

    def configure(self, version: int, *queues: Queue) -> None:
        config = make_config(version, *queues)
        assert self.service.configure(config) is True

    def call(
        self,
        operation: str,
        path: str,
        *,
        host: str = 'h',
        key: str = '',
    ) -> JobAnswer:
        answer = self.service.answer_call(
            JobCall(
                operation=operation,
                host=host,
                path=path,
                request=msgspec.msgpack.encode(make_job(LASTING)),
                key=key,
            )
        )
        assert isinstance(answer, JobAnswer)
        return answer

    def ask(self, operation: str, path: str, **more: str) -> str:
        return self.call(operation, path, **more).outcome

    def close(self) -> None:
        self.running.leader.close()


@pytest.fixture
def service() -> Iterator[Service]:
    service = Service()
    service.configure(2, make_queue('a'))
    assert service.ask('submit', '/v/j') == 'accepted'
    yield service
    service.close()


def check_job(service: Service, path: str = '/v/j') -> None:
    """Check all calls of a caller; the job is cancelled at the end."""
    assert service.ask('submit', path) == 'accepted'
    assert service.ask('status', path) == 'found'
    waiting = service.call('status', path.rpartition('/')[0] + '/')
    assert (waiting.outcome, waiting.count) == ('counted', 1)
    assert len(service.running.state.jobs) == 1
    assert service.ask('cancel', path) == 'cancelled'
    assert service.running.state.jobs['j'].cancelled
    assert service.call('status', path).phase == 'cancelled'


@pytest.mark.parametrize(
    'names',
    [['b'], ['b', 'c'], ['b', 'a'], ['b', '', 'c'], ['', 'a'], ['', '', 'b']],
)
def test_job_is_found_after_its_queue_has_new_names(
    service: Service, names: list[str]
) -> None:
    """Guards against 410 for an accepted job (review/8)."""
    for version, name in enumerate(names, 3):
        # Without a name, the version removes the queue.
        queues = [make_queue(name)] if name else [make_queue('o', '/o/')]
        service.configure(version, *queues)
        if not name:
            assert service.ask('status', '/v/j') == 'no_queue'
            assert service.ask('status', '/o/j') == 'no_job'
    check_job(service)


def test_two_versions_may_follow_at_once(service: Service) -> None:
    configs = [
        make_config(7, make_queue('c')),
        make_config(5, make_queue('b')),
    ]
    calls = [gevent.spawn(service.service.configure, each) for each in configs]
    gevent.joinall(calls, timeout=2.0)
    check_job(service)


def test_queues_may_exchange_their_names() -> None:
    service = Service()
    service.configure(2, make_queue('a', '/v/'), make_queue('b', '/w/'))
    assert service.ask('submit', '/v/j') == 'accepted'
    service.configure(
        3, make_queue('b', '/v/'), make_queue('a', '/w/', 'other')
    )
    assert service.ask('status', '/w/j') == 'no_job'
    assert service.ask('cancel', '/w/j') == 'no_job'
    assert service.call('status', '/w/').count == 0
    job = service.running.state.jobs['j']
    assert (job.queue, job.pools) == ('b', ('empty',))
    check_job(service)
    service.close()


@pytest.mark.parametrize('path, host', [('/w/j', 'h'), ('/v/j', 'other')])
def test_job_is_hidden_from_callers_of_other_endpoints(
    service: Service, path: str, host: str
) -> None:
    """The name of the job's queue moves there."""
    service.configure(
        3,
        make_queue('z', '/v/'),
        msgspec.structs.replace(
            make_queue('a', path.removesuffix('j')), host=host
        ),
    )
    for operation in ('status', 'cancel'):
        assert service.ask(operation, path, host=host) == 'no_job'
    assert service.ask('submit', path, host=host) == 'invalid'
    assert not service.running.state.jobs['j'].has_ended
    assert service.ask('status', '/v/j') == 'found'


def test_job_stays_hidden_from_other_workspaces(service: Service) -> None:
    spaces = (
        Workspace(name='m', keys=('k1',)),
        Workspace(name='n', keys=('k2',)),
    )
    config = Configuration(3, (make_queue('a'),), POOLS, workspaces=spaces)
    assert service.service.configure(config) is True
    assert service.ask('submit', '/v/k', key='k1') == 'accepted'
    renamed = Configuration(4, (make_queue('b'),), POOLS, workspaces=spaces)
    assert service.service.configure(renamed) is True
    for operation in ('status', 'cancel'):
        assert service.ask(operation, '/v/k', key='k2') == 'no_job'
        assert service.ask(operation, '/v/k', key='odd') == 'unknown_key'
    assert service.ask('submit', '/v/k', key='k2') == 'invalid'
    assert service.ask('status', '/v/k', key='k1') == 'found'
    assert service.ask('cancel', '/v/k', key='k1') == 'cancelled'


def test_new_leader_finds_the_job(service: Service) -> None:
    service.configure(3, make_queue('b'))
    following = Service(service.running.state)
    check_job(following)
    following.close()


def test_ended_job_is_found_under_a_new_name(service: Service) -> None:
    assert service.ask('cancel', '/v/j') == 'cancelled'
    service.configure(3, make_queue('b'))
    assert service.call('status', '/v/j').phase == 'cancelled'
    assert service.ask('cancel', '/v/j') == 'cancelled'


def test_job_that_is_accepted_during_the_change_keeps_its_endpoint() -> None:
    """The version exchanges the names before the job is committed."""
    service = Service()
    service.configure(2, make_queue('a', '/v/'), make_queue('b', '/w/'))
    may_commit = Event()
    service.running.log.hold(AcceptJob, may_commit)
    call = gevent.spawn(service.ask, 'submit', '/v/j')
    eventually(lambda: service.running.log.held_commands == 1)
    service.configure(3, make_queue('b', '/v/'), make_queue('a', '/w/'))
    may_commit.set()
    assert call.get(timeout=2.0) == 'accepted'
    assert service.running.state.jobs['j'].queue == 'b'
    check_job(service)
    service.close()


def apply_config(state: JobState, version: int, *queues: Queue) -> None:
    state.apply_command(Configure(config=make_config(version, *queues)))


def make_state(*queues: Queue) -> JobState:
    """Return a state with a job of the first queue, from a current build."""
    state = JobState()
    state.apply_command(TakeOver(node='c1'))
    apply_config(state, 1, *queues)
    state.apply_command(
        AcceptJob(
            name='j',
            queue=queues[0].name,
            request=make_job(LASTING),
            now_ms=1,
            endpoint=queues[0].endpoint,
        )
    )
    return state


def strip_endpoints(state: JobState) -> JobState:
    """Return the state as an older build stores it."""
    tables = msgspec.msgpack.decode(state.snapshot())
    for job in tables['jobs'].values():
        del job['endpoint']
    del tables['former_queues']
    older = JobState()
    older.restore(1, msgspec.msgpack.encode(tables))
    return older


def test_state_of_an_older_build_gets_endpoints() -> None:
    state = strip_endpoints(make_state(make_queue('a')))
    apply_config(state, 2, make_queue('b'))
    job = state.jobs['j']
    assert (job.endpoint, job.queue) == (('h', '/v/'), 'b')
    assert job.is_of_queue(make_queue('b'))


def test_command_of_an_older_build_is_resolved_by_the_name() -> None:
    state = JobState()
    apply_config(state, 1, make_queue('a'))
    command = AcceptJob(
        name='j', queue='a', request=make_job(LASTING), now_ms=1
    )
    fields = msgspec.msgpack.decode(encode(command))
    older = msgspec.msgpack.encode(fields[:6])  # without the endpoint
    assert state.apply_command(decode(older)) is True
    assert state.jobs['j'].endpoint == ('h', '/v/')


def test_older_build_reads_the_command() -> None:
    """It ignores what follows the fields that it knows."""

    class Former(
        msgspec.Struct, frozen=True, tag='AcceptJob', array_like=True
    ):
        name: str
        queue: str
        request: object
        now_ms: int
        workspace: str = ''

    command = AcceptJob(
        name='j',
        queue='a',
        request=make_job(),
        now_ms=1,
        endpoint=('h', '/v/'),
    )
    former = msgspec.msgpack.decode(encode(command), type=Former)
    assert (former.name, former.queue) == ('j', 'a')


def test_job_of_an_unknown_name_is_found_once_the_name_is_back() -> None:
    """An older build has removed the queue."""
    state = make_state(make_queue('a'))
    tables = msgspec.msgpack.decode(state.snapshot())
    del tables['jobs']['j']['endpoint']
    tables['config']['queues'][0]['name'] = 'b'
    state.restore(1, msgspec.msgpack.encode(tables))
    assert state.jobs['j'].endpoint is None
    assert not state.jobs['j'].is_of_queue(make_queue('b'))
    apply_config(state, 5, make_queue('a', '/w/'))
    assert state.jobs['j'].is_of_queue(make_queue('a', '/w/'))
    apply_config(state, 6, make_queue('c', '/w/'))
    assert state.jobs['j'].is_of_queue(make_queue('c', '/w/'))


def test_job_for_an_endpoint_that_was_removed_is_refused() -> None:
    state = JobState()
    apply_config(state, 2, make_queue('a', '/w/'))
    command = AcceptJob(
        name='j',
        queue='a',
        request=make_job(),
        now_ms=1,
        endpoint=('h', '/v/'),
    )
    assert isinstance(state.apply_command(command), Refused)


def test_factors_follow_the_names() -> None:
    """Run times that were learned hold for the same endpoint."""
    state = make_state(make_queue('a', '/v/'), make_queue('b', '/w/'))
    tables = msgspec.msgpack.decode(state.snapshot())
    tables['factors'] = {'a': 2.0, 'b': 3.0, 'c': 4.0}
    state.restore(1, msgspec.msgpack.encode(tables))
    apply_config(state, 2, make_queue('b', '/v/'), make_queue('a', '/w/'))
    assert state.factors == {'a': 3.0, 'b': 2.0, 'c': 4.0}
    apply_config(state, 3, make_queue('c', '/v/'))
    assert state.factors == {'a': 3.0, 'c': 2.0}


def make_harness(queue: Queue) -> Harness:
    harness = Harness(
        FakeWorker(name='w1'), FakeWorker(name='w2', pool='other')
    )
    configure(harness, 2, queue)
    harness.submit('j', make_job(LASTING), queue=queue.name)
    harness.pass_time(1.0)
    return harness


def configure(harness: Harness, version: int, *queues: Queue) -> None:
    apply_config(harness.state, version, *queues)
    harness.engine.apply_config(harness.now)


def test_renamed_queue_that_moves_starts_tasks_in_its_new_pool_only() -> None:
    """Those that run go on; another queue gets the former name."""
    harness = make_harness(make_queue('a', pool='lots'))
    assert len(harness.workers['w1'].running) == 2
    configure(
        harness, 3, make_queue('b', pool='other'), make_queue('a', '/w/')
    )
    harness.pass_time(1.0)
    assert len(harness.workers['w1'].running) == 2
    harness.crash('w1')
    harness.retire('w1')
    harness.pass_time(12.0)
    assert len(harness.workers['w2'].running) == 2
    assert not harness.workers['w1'].running


def test_job_of_a_removed_queue_keeps_its_settings() -> None:
    """Guards against one that preempts all others, with priority 0."""
    advice = Advice(100.0, 10.0, 3000.0)
    queue = make_queue(
        'a', pool='lots', priority=3, stretch=2.2, advice=advice
    )
    harness = make_harness(queue)
    configure(harness, 3, make_queue('o', '/o/'))
    assert harness.engine.jobs['j'].queue == queue
    harness.take_over('c2')
    assert harness.engine.jobs['j'].queue == queue
    harness.state.restore(1, harness.state.snapshot())
    configure(harness, 4, make_queue('o', '/o/', priority=1))
    assert harness.engine.jobs['j'].queue == queue


def test_removed_queue_is_forgotten_after_its_jobs() -> None:
    state = make_state(make_queue('a'))
    apply_config(state, 2, make_queue('o', '/o/'))
    assert [queue.name for queue in state.former_queues] == ['a']
    state.apply_command(CancelJob(name='j', now_ms=2))
    apply_config(state, 3, make_queue('o', '/o/'))
    assert state.former_queues == ()


def test_job_of_a_removed_queue_with_advice_restarts_with_tickets() -> None:
    """Guards against restarts that are rejected for ever (review/5)."""
    harness = PeakHarness()
    (name,) = harness.submit_each(1, 1.0, make_job(LASTING))
    assert len(harness.tickets) == 2
    configure(harness, 3, make_queue('o', '/o/', pool='lots'))
    for worker in list(harness.workers):
        if harness.workers[worker].running:
            harness.crash(worker)
            harness.retire(worker)
    harness.take_over('c2')
    harness.pass_time(15.0)
    running = [
        task for each in harness.workers.values() for task in each.running
    ]
    assert len(running) == 2
    assert len(harness.tickets) >= 4
    assert all(ticket.startswith(name) for ticket in harness.tickets)


def test_job_with_unknown_settings_has_the_lowest_priority() -> None:
    """An older build has removed its queue."""
    state = make_state(make_queue('a', priority=2))
    tables = msgspec.msgpack.decode(state.snapshot())
    tables['config']['queues'] = []
    state.restore(1, msgspec.msgpack.encode(tables))
    apply_config(
        state, 4, make_queue('o', '/o/'), make_queue('p', '/p/', priority=4)
    )
    harness = Harness(FakeWorker(name='w1'))
    harness.state.restore(1, state.snapshot())
    harness.take_over('c2')
    assert harness.engine.jobs['j'].queue.priority == 4


@pytest.mark.parametrize('seed', range(20))
def test_random_versions_lose_no_job(seed: int) -> None:
    """Places keep their jobs through names, removals and restarts."""
    rng = random.Random(seed)
    state = JobState()
    state.apply_command(TakeOver(node='c1'))
    present: dict[str, Queue] = {}
    jobs: dict[str, str] = {}
    for version in range(1, 30):
        names = rng.sample(['a', 'b', 'c', 'd'], 3)
        present = {
            prefix: make_queue(name, prefix, rng.choice(['lots', 'other']))
            for prefix, name in zip(PREFIXES, names, strict=True)
            if rng.random() < 0.8
        }
        apply_config(state, version, *present.values())
        for prefix, queue in present.items():
            if rng.random() < 0.5:
                name = f'j{version}{prefix[1]}'
                command = AcceptJob(
                    name=name,
                    queue=queue.name,
                    request=make_job(),
                    now_ms=1,
                    endpoint=rng.choice([queue.endpoint, None]),
                )
                assert state.apply_command(command) is True
                jobs[name] = prefix
        if rng.random() < 0.3:
            state.restore(1, state.snapshot())
        for name, prefix in jobs.items():
            found = [
                prefix
                for prefix, queue in present.items()
                if state.jobs[name].is_of_queue(queue)
            ]
            assert found == [prefix] * (prefix in present)
            if prefix in present:
                assert state.jobs[name].pools[-1] == present[prefix].pool


def test_comparison_shows_a_new_name_of_a_queue() -> None:
    """Guards against "removed: its calls get 404" for a queue that stays."""
    current = make_config(1, make_queue('a'), make_queue('b', '/w/'))
    config = make_config(2, make_queue('b'), make_queue('a', '/x/'))
    found = [
        (each.entry, each.field, each.problem)
        for each in compare_configurations(current, config)
    ]
    assert found == [
        ('b', '', 'it is removed: its calls get 404'),
        ('b', 'name', "it changes from 'a' to 'b'"),
        ('a', '', 'it is added'),
    ]
