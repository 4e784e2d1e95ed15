"""Which connection of a server gives its place to a new one.

Guards against a crowd of silent clients that keeps other callers out, and
against requests that are ended though nobody but the server holds them up.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st
import pytest

from galenareel._entry.connection_table import ConnectionTable
from galenareel._entry.connection_table import STALLED_ANSWER_S


@pytest.fixture
def table() -> ConnectionTable[str]:
    return ConnectionTable()


def test_nothing_is_closed_if_there_are_no_connections(
    table: ConnectionTable[str],
) -> None:
    assert table.choose_to_close(1000.0) is None


def test_silent_connections_are_closed_oldest_first(
    table: ConnectionTable[str],
) -> None:
    for conn in 'abc':
        table.add(conn, 'host')
    for conn in 'abc':
        assert table.choose_to_close(0.0) == conn
        table.remove(conn)
    assert not table
    assert table.count_by_host == {}


def test_connection_with_a_request_in_progress_is_not_closed(
    table: ConnectionTable[str],
) -> None:
    table.add('a', 'host')
    table.note_waiting('a', False)
    assert table.choose_to_close(1000.0) is None


def test_wait_for_the_next_request_begins_after_the_answer(
    table: ConnectionTable[str],
) -> None:
    table.add('busy', 'host')
    table.note_waiting('busy', False)
    table.add('silent', 'host')
    table.note_waiting('busy', True)
    assert table.choose_to_close(0.0) == 'silent'


def test_connection_that_waits_for_its_body_is_closed(
    table: ConnectionTable[str],
) -> None:
    table.add('a', 'host')
    table.note_waiting('a', False)
    table.note_waiting('a', True)
    assert table.choose_to_close(0.0) == 'a'


def test_client_that_takes_no_answer_is_closed_after_a_time(
    table: ConnectionTable[str],
) -> None:
    for conn, now in (('late', 4.0), ('early', 3.0)):
        table.add(conn, 'host')
        table.note_waiting(conn, False)
        table.note_sending(conn, now - 2.0)
    table.note_sending('early', None)
    table.note_sending('early', 3.0)
    table.note_sending('late', None)
    table.note_sending('late', 4.0)
    assert table.choose_to_close(3.0 + STALLED_ANSWER_S - 0.01) is None
    assert table.choose_to_close(3.0 + STALLED_ANSWER_S) == 'early'
    table.note_sending('early', None)
    assert table.choose_to_close(3.0 + STALLED_ANSWER_S) is None
    assert table.choose_to_close(4.0 + STALLED_ANSWER_S) == 'late'


def test_silent_connection_is_closed_before_one_that_takes_no_answer(
    table: ConnectionTable[str],
) -> None:
    table.add('stalled', 'host')
    table.note_waiting('stalled', False)
    table.note_sending('stalled', 0.0)
    table.add('silent', 'host')
    assert table.choose_to_close(1000.0) == 'silent'


NUMBERS = st.integers(0, 5)
HOSTS = st.sampled_from(['h1', 'h2'])


class TableMachine(RuleBasedStateMachine):
    """Compares the table with plain lists; some connections are removed."""

    def __init__(self) -> None:
        super().__init__()
        self.table: ConnectionTable[int] = ConnectionTable()
        self.now = 0.0
        self.hosts: dict[int, str] = {}
        self.waiting: list[int] = []
        self.sending: list[tuple[float, int]] = []

    def forget(self, conn: int) -> None:
        self.sending = [item for item in self.sending if item[1] != conn]

    @rule(conn=NUMBERS, host=HOSTS)
    def add(self, conn: int, host: str) -> None:
        if conn not in self.hosts:
            self.table.add(conn, host)
            self.hosts[conn] = host
            self.waiting.append(conn)

    @rule(conn=NUMBERS)
    def remove(self, conn: int) -> None:
        self.table.remove(conn)
        self.hosts.pop(conn, None)
        self.waiting = [other for other in self.waiting if other != conn]
        self.forget(conn)

    @rule(conn=NUMBERS, is_waiting=st.booleans())
    def note_waiting(self, conn: int, is_waiting: bool) -> None:
        self.table.note_waiting(conn, is_waiting)
        self.waiting = [other for other in self.waiting if other != conn]
        if is_waiting and conn in self.hosts:
            self.waiting.append(conn)

    @rule(conn=NUMBERS, begins=st.booleans())
    def note_sending(self, conn: int, begins: bool) -> None:
        self.table.note_sending(conn, self.now if begins else None)
        self.forget(conn)
        if begins and conn in self.hosts:
            self.sending.append((self.now, conn))

    @rule(elapsed=st.sampled_from([0.25, 0.5, STALLED_ANSWER_S]))
    def wait(self, elapsed: float) -> None:
        self.now += elapsed

    @invariant()
    def choice_is_that_of_the_lists(self) -> None:
        stalled = [
            conn
            for since, conn in self.sending
            if self.now - since >= STALLED_ANSWER_S
        ]
        expected = (self.waiting + stalled + [None])[0]
        assert self.table.choose_to_close(self.now) == expected

    @invariant()
    def counts_are_those_of_the_lists(self) -> None:
        hosts = list(self.hosts.values())
        assert len(self.table) == len(hosts)
        assert self.table.list_all() == list(self.hosts)
        assert self.table.count_by_host == {
            host: hosts.count(host) for host in hosts
        }


TestTable = TableMachine.TestCase
TestTable.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
