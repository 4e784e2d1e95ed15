"""Connects to a control member as an entry does."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import Link
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import EntryReport
from galenareel._common.messages import Hello
from galenareel._common.messages import OpenSession
from galenareel._common.messages import SessionOpened
from galenareel._common.messages import ViewDelta
from galenareel._common.messages import Welcome
from galenareel._common.rows import DocumentRow
from galenareel._common.rows import EntryRow
from galenareel._common.rows import InstanceRow

SECRET = 'cluster secret of the tests'


@dataclass(slots=True)
class EntryView:
    """The view of an entry, from its session and the deltas after it."""

    index: int
    instances: dict[str, InstanceRow]
    entries: dict[str, EntryRow]
    document: DocumentRow | None


class FakeEntry:
    """An entry with only its connection to control.

    :ivar gaps: number of deltas that did not continue the view.
    """

    def __init__(
        self, name: str, zone: str, *, incarnation: str = '1'
    ) -> None:
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.view: EntryView | None = None
        self.gaps = 0
        self.address = ''
        self._link: Link | None = None

    def hello(self, address: str, *, secret: str = SECRET) -> Any:
        clock = HybridClock(SystemClock())
        link = connect(address, clock=clock, handler=self._on_message)
        assert isinstance(link, Link), link
        self._link = link
        self.address = address
        return link.request(
            Hello(process=self.name, secret=secret), timeout_s=2
        )

    def open(self, address: str) -> Any:
        """Open a session and store the view.

        :returns: the answer to the hello if it was refused, otherwise the
            answer to the request for a session.
        """
        reply = self.hello(address)
        if not isinstance(reply, Welcome):
            return reply
        opened = self.request(
            OpenSession(
                entry=self.name,
                zone=self.zone,
                frames='127.0.0.1:1',
                incarnation=self.incarnation,
                index=self.view.index if self.view else 0,
            )
        )
        if isinstance(opened, SessionOpened):
            self.view = EntryView(
                index=opened.index,
                instances={row.instance: row for row in opened.instances},
                entries={row.entry: row for row in opened.entries},
                document=opened.document,
            )
        return opened

    def request(self, msg: AnyMessage) -> Any:
        assert self._link is not None
        return self._link.request(msg, timeout_s=5)

    def report(self, **fields: Any) -> Any:
        return self.request(
            EntryReport(
                entry=self.name,
                incarnation=self.incarnation,
                index=self.view.index if self.view else 0,
                **fields,
            )
        )

    def close(self) -> None:
        if self._link is not None:
            self._link.close()

    def _on_message(self, _link: Link, msg: AnyMessage) -> None:
        view = self.view
        if not isinstance(msg, ViewDelta) or view is None:
            return
        if msg.previous != view.index:
            self.gaps += 1
            return
        view.index = msg.index
        view.instances.update({row.instance: row for row in msg.instances})
        view.entries.update({row.entry: row for row in msg.entries})
        for name in msg.removed_instances:
            view.instances.pop(name, None)
        if msg.document is not None:
            view.document = msg.document
