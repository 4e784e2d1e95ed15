"""Tests of the view, takeovers, fencing, drains and planned stops."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import gevent
from gevent.socket import create_connection
import pytest

from galenareel._common.rows import EntryRow
from galenareel._common.rows import EntryState
from galenareel._common.rows import Phase
from galenareel._entry.calls import Call
from galenareel._entry.lifecycle import Lifecycle
from galenareel._entry.process import Entry
from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import FakeControl
from testing.entry.fakes import make_document
from testing.entry.fakes import read_reply
from testing.entry.fakes import respond_with
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for


def freeze(entry: Entry) -> None:
    """Stop the heartbeats and reports of an entry, like a frozen process."""
    entry.zone.close()
    entry.session.close()


def test_entry_without_a_view_is_not_ready(cluster: Cluster) -> None:
    """Guards against an entry that serves requests before it has a view."""
    entry = cluster.add_entry('a1')
    entry.start()
    ready = send_request(entry.settings.callers, '/-/ready')
    got = send_request(entry.settings.callers)
    assert ready.status == 503
    assert (got.status, got.outcome) == (503, 'not_run')
    assert 'retry-after' in got.headers
    assert 'galenareel-document-version' not in got.headers
    cluster.control.start()
    wait_for(lambda: entry.view.ready)
    assert send_request(entry.settings.callers, '/-/ready').status == 200


def test_entry_follows_leader_hint(cluster: Cluster) -> None:
    """Guards against an entry that keeps asking a former leader."""
    entry = cluster.add_entry('a1')
    other = FakeControl()
    other.entries = cluster.control.entries
    other.start()
    cluster.control.leader_hint = other.address
    cluster.control.start()
    entry.start()
    wait_for(lambda: other.reports)
    other.close()


def test_view_index_never_decreases(cluster: Cluster) -> None:
    """Guards against a return to an older document in force (H8).

    Control restarts with an older state.
    """
    entry = cluster.add_entry('a1')
    cluster.start()
    cluster.control.commit(make_document(2))
    wait_for(lambda: entry.routes.version == 2)
    cluster.control.close()
    cluster.control.index = 1
    cluster.control.document = make_document(1)
    cluster.control.restart()
    gevent.sleep(0.6)
    assert (entry.view.index, entry.routes.version) == (2, 2)
    cluster.control.index = 9
    cluster.control.commit(make_document(3))
    wait_for(lambda: entry.routes.version == 3)


def test_cut_off_entry_serves_its_zone(cluster: Cluster) -> None:
    """Guards against a zone that stops serving when it loses control."""
    entry = cluster.add_entry('a1')
    cluster.add_backend(FakeBackend())
    cluster.start()
    cluster.control.close()
    entry.view._lease_until = 0.0  # as if 3 s had passed
    assert send_request(entry.settings.callers).status == 200


def test_lost_delta_reopens_the_session(cluster: Cluster) -> None:
    """Guards against a view that lacks the changes of a lost message."""
    entry = cluster.add_entry('a1')
    cluster.start()
    cluster.control.index += 5  # changes that aren't sent to the entry
    cluster.control.commit(make_document(7))
    wait_for(lambda: entry.routes.version == 7)


def test_takeover_while_cut_off(cluster: Cluster) -> None:
    """Guards against a zone without homes, and slots counted from zero.

    The entry that takes over must count the requests that still run.
    """
    first = cluster.add_entry('a1')
    second = cluster.add_entry('a2')
    backend = cluster.add_backend(FakeBackend(slots=4))
    cluster.start()
    wait_for(lambda: second.peers.by_name['a1'].last_heartbeat_at)
    cluster.control.close()
    backend.running = 3
    cluster.announce()
    freeze(first)
    server = second.homes.servers['a/lots-1']
    wait_for(lambda: server.homed_here, timeout_s=7, what='for the takeover')
    assert (server.unleased, server.count_free()) == (3, 1)
    assert send_request(second.settings.callers).status == 200
    backend.running = 0
    cluster.announce()
    assert server.count_free() == 4
    # When the first entry runs again it must ask its peers before it uses its
    # homes.
    first.zone.start()
    wait_for(lambda: not first.homes.servers['a/lots-1'].homed_here)
    cluster.control.restart()
    cluster.control.commit(backend.make_row(home='a2', home_epoch=2))
    wait_for(lambda: not second.homes.taken_over)
    assert server.homed_here


def test_no_takeover_while_the_control_session_is_fresh(
    cluster: Cluster,
) -> None:
    """Guards against one takeover decided by both control and a peer."""
    first = cluster.add_entry('a1')
    second = cluster.add_entry('a2')
    backend = cluster.add_backend(FakeBackend())
    cluster.start()
    wait_for(lambda: second.peers.by_name['a1'].last_heartbeat_at)
    freeze(first)
    wait_for(
        lambda: cluster.control.reports[-1].silent_peers == ('a1',),
    )
    gevent.sleep(0.5)
    assert not second.homes.servers['a/lots-1'].homed_here
    cluster.control.commit(backend.make_row(home='a2', home_epoch=2))
    wait_for(lambda: second.homes.servers['a/lots-1'].homed_here)


def test_stalled_loop_fences_the_entry(cluster: Cluster) -> None:
    """Guards against requests from an entry whose homes were taken over."""
    first = cluster.add_entry('a1')
    second = cluster.add_entry('a2')
    cluster.add_backend(FakeBackend())
    cluster.start()
    wait_for(lambda: first.peers.by_name['a2'].last_heartbeat_at)
    first.fence._last_tick -= 5.0
    assert first.router._lease_local(_make_call(first)) is None
    first.zone._tick(first.zone._last_tick)
    assert first.homes.fenced
    wait_for(lambda: not first.homes.fenced)
    kinds = [event.kind for event in first.timeline.list_after(0)]
    assert 'entry.fenced' in kinds
    assert not second.homes.fenced


def _make_call(entry: Entry) -> Any:
    return Call(
        request_id='r',
        service='lots',
        pool='lots',
        method='GET',
        path='/lots',
        headers=(),
        body=b'',
        deadline=entry.fence._last_tick + 100,
        idempotent=True,
    )


@pytest.mark.parametrize('phase', [Phase.DRAINING, Phase.MAINTENANCE])
def test_drain_waits_for_requests_in_flight(
    cluster: Cluster, phase: Phase
) -> None:
    """Guards against moving an instance that still runs a request."""
    entry = cluster.add_entry('a1')
    backend = cluster.add_backend(FakeBackend())
    backend.react = respond_with(after_s=0.6)
    cluster.start()
    job = gevent.spawn(send_request, entry.settings.callers)
    wait_for(lambda: backend.running == 1)
    row = backend.make_row(phase=phase, maintenance_step='draining')
    cluster.control.commit(row)
    wait_for(lambda: not entry.homes.count_free('lots', now=0))
    assert not any(report.drained for report in cluster.control.reports)
    assert job.get().status == 200
    wait_for(lambda: cluster.control.reports[-1].drained)
    (drained,) = cluster.control.reports[-1].drained
    assert (drained.epoch, drained.home_epoch) == (1, 1)
    cluster.control.commit(replace(row, phase=Phase.SERVING, epoch=2))
    wait_for(lambda: send_request(entry.settings.callers).status == 200)


def test_leaving_and_silent_servers_get_no_requests(cluster: Cluster) -> None:
    """Guards against new requests for a server that leaves (H6)."""
    entry = cluster.add_entry('a1')
    backend = cluster.add_backend(FakeBackend())
    cluster.start()
    assert entry.homes.count_free('lots', now=entry.zone._last_tick) == 8
    assert entry.homes.count_free('lots', now=entry.zone._last_tick + 6.0) == 0
    backend.leaving = True
    cluster.announce()
    assert entry.homes.count_free('lots', now=entry.zone._last_tick) == 0
    wait_for(
        lambda: any(
            announcement.leaving
            for report in cluster.control.reports
            for announcement in report.announcements
        )
    )


def test_silence_is_counted_from_the_start_of_the_home(
    cluster: Cluster,
) -> None:
    """Guards against a server reported lost before it could announce."""
    cluster.add_entry('a1')
    cluster.silent_instances.add('a/lots-1')
    cluster.add_backend(FakeBackend())
    cluster.start()
    wait_for(lambda: cluster.control.reports)
    (load,) = cluster.control.reports[0].instances
    assert 0.0 <= load.silent_s < 1.0


def test_new_incarnation_resets_the_server(cluster: Cluster) -> None:
    """Guards against counts and connections kept from a former process."""
    entry = cluster.add_entry('a1')
    backend = cluster.add_backend(FakeBackend())
    backend.react = respond_with(after_s=0.4)
    cluster.start()
    job = gevent.spawn(send_request, entry.settings.callers)
    wait_for(lambda: backend.running == 1)
    server = entry.homes.servers['a/lots-1']
    backend.incarnation = 'two'
    cluster.announce()
    assert (server.in_flight, server.count_free()) == (0, 8)
    job.get()
    assert (server.in_flight, server.count_free()) == (0, 8)


def test_other_zones_are_used_only_with_a_valid_lease(
    cluster: Cluster,
) -> None:
    """Guards against a cut-off zone that sends requests to other zones."""
    entry = cluster.add_entry('a1')
    other_zone = cluster.add_entry('b1', zone='b')
    cluster.add_backend(FakeBackend(instance='b/lots-1'), home='b1')
    cluster.start()
    wait_for(lambda: entry.peers.by_name['b1'].free.get('lots'))
    assert send_request(entry.settings.callers).status == 200
    entry.view._lease_until = 0.0
    entry.session.close()
    got = send_request(
        entry.settings.callers, headers={'Galenareel-Deadline-S': '0.4'}
    )
    assert (got.status, got.outcome) == (503, 'not_run')
    assert other_zone.view.ready


def test_planned_stop_answers_all_requests(cluster: Cluster) -> None:
    """Guards against requests without an answer after a stop (H7)."""
    first = cluster.add_entry('a1', stop_grace_s=0.6)
    second = cluster.add_entry('a2')
    backend = cluster.add_backend(FakeBackend())
    backend.react = respond_with(after_s=1.0)
    cluster.start()
    wait_for(lambda: second.peers.by_name['a1'].last_heartbeat_at)
    running = gevent.spawn(send_request, first.settings.callers)
    wait_for(lambda: backend.running == 1)
    stop = gevent.spawn(Lifecycle(first).stop)
    wait_for(lambda: cluster.control.reports[-1].stopping)
    assert send_request(first.settings.callers, '/-/ready').status == 503
    cluster.control.commit(
        EntryRow(
            entry='a1',
            zone='a',
            frames=first.settings.frames,
            incarnation='i',
            state=EntryState.STOPPING,
        ),
        backend.make_row(home='a2', home_epoch=2),
    )
    late = send_request(first.settings.callers)
    assert late.status == 200
    assert running.get().status == 200
    stop.get(timeout=3)
    assert backend.max_running <= 2
    assert not first.count_in_flight()


def test_new_home_waits_for_the_next_announcement(
    cluster: Cluster,
) -> None:
    """Guards against too many requests at a server after a handover.

    The former home may have sent requests after the server's latest
    announcement, so its in-use count is too low.
    """
    cluster.add_entry('a1')
    second = cluster.add_entry('a2')
    backend = cluster.add_backend(FakeBackend())
    cluster.start()
    wait_for(lambda: second.peers.by_name['a1'].last_heartbeat_at)
    cluster.silent_instances.add('a/lots-1')
    cluster.control.commit(backend.make_row(home='a2', home_epoch=2))
    server = second.homes.servers['a/lots-1']
    wait_for(lambda: server.homed_here)
    assert server.count_free() == 0
    backend.running = 5
    cluster.silent_instances.clear()
    wait_for(lambda: server.count_free() == 3)


def test_planned_stop_waits_for_a_long_answer(cluster: Cluster) -> None:
    """Guards against an answer that a planned stop cuts off (H7)."""
    entry = cluster.add_entry('a1', stop_grace_s=0.1)
    backend = cluster.add_backend(FakeBackend())
    backend.react = respond_with(b'x' * 10_000_000)
    cluster.start()
    host, port = entry.settings.callers.split(':')
    with create_connection((host, int(port)), 5) as sock:
        sock.sendall(b'GET /lots HTTP/1.1\r\nHost: x\r\n\r\n')
        wait_for(lambda: backend.running)
        stop = gevent.spawn(Lifecycle(entry).stop)
        gevent.sleep(0.3)
        assert not stop.ready()
        got = read_reply(sock)
    assert got.is_complete
    stop.get(timeout=2)


def test_second_signal_ends_the_planned_stop(cluster: Cluster) -> None:
    """Guards against operators that must wait for the grace time."""
    entry = cluster.add_entry('a1', stop_grace_s=30.0, stop_limit_s=60.0)
    cluster.start()
    lifecycle = Lifecycle(entry)
    lifecycle.signal()
    job = gevent.spawn(lifecycle.stop)
    gevent.sleep(0.1)
    assert not job.ready()
    lifecycle.signal()
    job.get(timeout=1)
