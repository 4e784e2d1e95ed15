"""A home is handed over while requests come in at both entries."""

from __future__ import annotations

from dataclasses import replace

import gevent

from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import respond_with
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for


def test_handover_under_load() -> None:
    """Guards against more requests than slots, and against lost ones."""
    cluster = Cluster()
    first, second = (cluster.add_entry(name) for name in ('a1', 'a2'))
    backend = cluster.add_backend(FakeBackend(slots=2), home='a1')
    backend.react = respond_with(after_s=0.05)
    name = backend.instance
    cluster.start()
    outcomes: list[str] = []

    def load(address: str) -> None:
        while True:
            outcomes.append(send_request(address).outcome)

    def released(epoch: int) -> bool:
        latest: dict[str, tuple[tuple[str, int], ...]] = {}
        for report in cluster.control.reports[-4:]:
            latest[report.entry] = report.released
        return (name, epoch) in latest.get('a1', ())

    jobs = []
    try:
        wait_for(
            lambda: send_request(second.settings.callers).outcome == 'answered'
        )
        for entry in (first, second, first, second):
            jobs.append(gevent.spawn(load, entry.settings.callers))
        wait_for(lambda: backend.running == 2, what='for load')
        row = cluster.control.instances[name]
        assert not released(row.home_epoch)
        asked = replace(row, next_home='a2')
        cluster.control.commit(asked)
        wait_for(lambda: released(row.home_epoch), what='for the release')
        assert backend.running == 0
        gevent.sleep(0.3)
        assert backend.running == 0, 'work after the release'
        given = replace(asked, home='a2', home_epoch=row.home_epoch + 1)
        cluster.control.commit(replace(given, next_home=''))
        wait_for(lambda: backend.running == 2, what='for work at the new home')
        gevent.sleep(0.5)
        assert backend.max_running == 2
        assert set(outcomes) == {'answered'}
        assert not first.homes.list_released_homes()
    finally:
        gevent.killall(jobs)
        cluster.close()
