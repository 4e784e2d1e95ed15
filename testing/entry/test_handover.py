"""Handover of a home while requests arrive at both entries."""

from __future__ import annotations

from dataclasses import replace

import gevent

from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import respond_with
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for


def test_handover_under_load() -> None:
    """Guards against lost requests and more requests than slots.

    The former home may send requests after it has reported the release, or
    the new home may count slots as free that the former one still uses.
    """
    cluster = Cluster()
    first, second = (cluster.add_entry(name) for name in ('a1', 'a2'))
    backend = cluster.add_backend(FakeBackend(slots=2), home='a1')
    backend.react = respond_with(after_s=0.05)
    name = backend.instance
    cluster.start()
    outcomes: list[str] = []

    def send_load(address: str) -> None:
        while True:
            outcomes.append(send_request(address).outcome)

    def is_released(epoch: int) -> bool:
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
            jobs.append(gevent.spawn(send_load, entry.settings.callers))
        wait_for(lambda: backend.running == 2, what='for load')
        row = cluster.control.instances[name]
        assert not is_released(row.home_epoch)
        releasing = replace(row, next_home='a2')
        cluster.control.commit(releasing)
        wait_for(lambda: is_released(row.home_epoch), what='for the release')
        assert backend.running == 0
        gevent.sleep(0.3)
        assert backend.running == 0, (
            'the former home sent requests after its release'
        )
        assigned = replace(releasing, home='a2', home_epoch=row.home_epoch + 1)
        cluster.control.commit(replace(assigned, next_home=''))
        wait_for(lambda: backend.running == 2, what='for work at the new home')
        gevent.sleep(0.5)
        assert backend.max_running == 2
        assert set(outcomes) == {'answered'}
        assert not first.homes.list_released_homes()
    finally:
        gevent.killall(jobs)
        cluster.close()
