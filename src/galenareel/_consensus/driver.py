"""Runs a member of the replicated log on gevent, sockets and a disk."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from random import SystemRandom
from typing import Any
from typing import TypeVar

import gevent
from gevent.event import Event
from gevent.threadpool import ThreadPool
import msgspec

from galenareel._common.clock import Clock
from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.frames import Link
from galenareel._common.log import Log
from galenareel._common.loops import format_trace
from galenareel._common.loops import spawn_part
from galenareel._common.messages import PeerMessage
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Refused
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.bootstrap_service import BootstrapService
from galenareel._consensus.disk import FolderDisk
from galenareel._consensus.disk import LOCK_WAIT_S
from galenareel._consensus.disk import open_folder
from galenareel._consensus.effects import Effects
from galenareel._consensus.errors import DiskError
from galenareel._consensus.errors import StorageError
from galenareel._consensus.interface import Replicator
from galenareel._consensus.interface import StateMachine
from galenareel._consensus.leader_links import LeaderLinks
from galenareel._consensus.lost_voters import find_lost_voter
from galenareel._consensus.member import Batch
from galenareel._consensus.member import Member
from galenareel._consensus.member_log import MemberLog
from galenareel._consensus.messages import Body
from galenareel._consensus.messages import decode
from galenareel._consensus.messages import encode
from galenareel._consensus.messages import Envelope
from galenareel._consensus.messages import InitialMembership
from galenareel._consensus.messages import Probe
from galenareel._consensus.metrics import MemberMetrics
from galenareel._consensus.peers import Peers
from galenareel._consensus.proposals import Proposals
from galenareel._consensus.proposals import wait_for_result
from galenareel._consensus.records import Entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.senders import RecentSenders
from galenareel._consensus.storage import LoadedState
from galenareel._consensus.storage import Storage

TICK_S = 0.05
# Waits between attempts to use a folder again that could not be written. They
# are short, as the disk of another member may be the next to fail, and double
# up to a bound.
REOPEN_DELAY_S = 0.25
REOPEN_MAX_DELAY_S = 1.0
FAILURE_LOG_INTERVAL_S = 5.0
IDENTITY_RETRY_S = 0.25  # interval of questions to a new member
CHANGE_TIMEOUT_S = 5.0
# A leader whose disk takes longer for one batch hands over.
STORE_STALL_S = 4.0
# A disk that hangs must not keep a process from ending.
CLOSE_TIMEOUT_S = 1.0
MAX_COMMAND_BYTES = 1024 * 1024

_T = TypeVar('_T')


class Driver(Replicator):
    """Runs a member of the replicated log in this process.

    :param members: addresses of the cluster's first members by name,
        including this member. A member that joins a cluster needs only its
        own.
    :param join_existing: wait to be added to an existing cluster.
    :param lock_wait_s: time that another process which uses the data folder
        has to end, in seconds.
    :param on_failure: called once, after an unexpected error has stopped the
        member for good. The process should end, so that it is started again
        and loads its state from the disk.
    :param prepare_folder: called in a thread before the content of the folder
        is read, again after a ``DiskError``.
    :param enough_voters: number of voters that bear the losses to be borne;
        from there on their number stays odd. 0 makes every member a voter.
    """

    def __init__(
        self,
        *,
        name: str,
        members: dict[str, str],
        data_dir: str,
        machine: StateMachine,
        clock: HybridClock,
        secret: str,
        join_existing: bool = False,
        lock_wait_s: float = LOCK_WAIT_S,
        time: Clock | None = None,
        rng: Random | None = None,
        log: Log | None = None,
        metrics: MemberMetrics | None = None,
        on_failure: Callable[[], None] | None = None,
        prepare_folder: Callable[[], None] | None = None,
        enough_voters: int = 0,
    ) -> None:
        self._name = name
        self._address = members[name]
        self._data_dir = data_dir
        self._lock_wait_s = lock_wait_s
        self._join_existing = join_existing
        self._machine = machine
        self._clock = clock
        self._time = time or SystemClock()
        self._rng = rng or SystemRandom()
        self._log = log or Log(name)
        self._member_log = MemberLog(self._log, metrics)
        self._on_failure = on_failure
        self._prepare_folder = prepare_folder
        self._enough_voters = enough_voters
        self._has_failed = False
        self._peers = Peers(
            self._address,
            process=name,
            secret=secret,
            clock=clock,
            log=self._log,
            metrics=metrics,
        )
        self._senders = RecentSenders(self._address)
        self._addresses_by_id: dict[int, str] = {}
        self._leader_links = LeaderLinks()
        self._pool = ThreadPool(1)
        self._disk: FolderDisk | None = None
        self._storage: Storage | None = None
        # Holds the content of the data folder until the member starts.
        self._loaded: LoadedState | None = None
        self._identity = 0
        self._bootstrap_service = BootstrapService(
            name,
            members,
            join_existing=join_existing,
            rng=self._rng,
            send=self._send_to_address,
            log=self._log,
        )
        self._member: Member | None = None
        self._applied_index = 0
        self._applied_term = 0
        self._reopen_due = 0.0
        self._reopen_delay_s = 0.0  # 0 while batches can be stored
        self._failure_log_due = 0.0
        self._logs_attempt = True
        self._store_began: float | None = None
        self._store_wakeup = Event()
        self._state_changed = Event()
        self._proposals = Proposals()
        self._greenlets: list[Any] = []

    def start(self) -> None:
        try:
            self._open()
        except DiskError as exc:
            # A full disk at the start is retried like one later on.
            self._suspend(str(exc))
        self._greenlets = [
            spawn_part(self._stop_member, self._tick_loop),
            spawn_part(self._stop_member, self._store_loop),
        ]

    def close(self) -> None:
        gevent.killall(self._greenlets)
        self._greenlets = []
        self._member = None
        self._proposals.fail_all('closed')
        self._peers.close()
        try:
            with gevent.Timeout(CLOSE_TIMEOUT_S):
                self._pool.join()
                self._pool.kill()
        except gevent.Timeout:
            self._log.warning('storage_stuck', detail='closed meanwhile')
            return
        if self._disk is not None:
            self._disk.close()
            self._disk = None

    def propose(
        self, command: bytes, *, timeout_s: float
    ) -> Any | NotLeader | Unreachable:
        if len(command) > MAX_COMMAND_BYTES:
            raise ValueError(
                f'command of {len(command)} bytes is over the limit of '
                f'{MAX_COMMAND_BYTES}; split it'
            )
        if not self._leads():
            return self._make_not_leader()
        fut = self._proposals.add(command)
        self._store_wakeup.set()
        return wait_for_result(fut, timeout_s)

    def read_barrier(
        self, *, timeout_s: float
    ) -> int | NotLeader | Unreachable:
        end = self._now() + timeout_s
        while self._leads():
            member = self._member
            assert member is not None, 'a leader has an open log'
            index = member.raft.read_index(self._now())
            if index is not None and member.applied_index >= index:
                return index
            remaining_s = end - self._now()
            if remaining_s <= 0:
                return Unreachable(reason='timeout')
            self._state_changed.wait(remaining_s)
        return self._make_not_leader()

    def is_leader(self) -> bool:
        member = self._member
        if member is None:
            return False
        return member.raft.read_index(self._now()) is not None

    def transfer_leadership(self) -> None:
        now = self._now()
        self._run_step(lambda member: member.raft.transfer_leadership(now))

    def leads_term(self) -> bool:
        return self._leads()

    def get_leader_address(self) -> str | None:
        if self._member is None:
            return None
        st = self._member.raft.state
        found = st.membership.find(st.leader_id)
        return found.address if found else None

    def change_members(
        self, *, add: str | None = None, remove: str | None = None
    ) -> int | Refused | NotLeader | Unreachable:
        """Add or remove a member.

        An added member is a learner when this returns. Once it has caught
        up, the leader removes an earlier member of the same name and then
        makes the new member a voter.

        :returns: index of the committed change, or why there is none.
        """
        if (add is None) == (remove is None):
            return Refused(
                reason='bad_request',
                detail='give either a member to add or one to remove',
            )
        if not self._leads():
            return self._make_not_leader()
        if remove is not None:
            return self._remove(remove)
        assert add is not None, 'checked above'
        return self._add(add)

    def hand_over_vote(
        self, name: str
    ) -> int | Refused | NotLeader | Unreachable:
        """Make a learner a voter in place of a member that is stopping.

        When this returns an index, the member is removed: if it ended before,
        the next loss could leave no majority of the voters with it.

        :returns: index of the committed change, or why there is none.
        """
        if self._member is None or not self._leads():
            return self._make_not_leader()
        deadline = self._now() + CHANGE_TIMEOUT_S
        result, effects = self._member.raft.hand_over_vote(name, self._now())
        answer = self._await_change(result, effects)
        while isinstance(answer, int) and self._may_vote(name):
            if not self._leads():
                return self._make_not_leader()
            left_s = deadline - self._now()
            if left_s <= 0:
                return Unreachable(reason='timeout')
            self._state_changed.wait(left_s)
        return answer

    def _may_vote(self, name: str) -> bool:
        return self.is_changing_members() or any(
            member.voter and member.name == name
            for member in self.list_members()
        )

    def is_changing_members(self) -> bool:
        """Return whether a change of the members is not committed yet.

        It is undone if all members that store it are lost.
        """
        if self._member is None:
            return False
        st = self._member.raft.state
        return st.membership_history[-1][0] > st.commit_index

    def receive(self, msg: PeerMessage, link: Link | None = None) -> None:
        """Handle a message that the process's frame server received.

        :param link: link on which it came, if its end is reported by
            :meth:`handle_link_end`.
        """
        try:
            env = decode(msg.body)
        except (msgspec.MsgspecError, RecursionError) as exc:
            self._log.warning(
                'peer_message_not_understood',
                peer=msg.sender,
                error=str(exc),
            )
            return
        now = self._now()
        self._peers.record_received(msg.sender, now)
        self._senders.record(msg.sender)
        if isinstance(env.body, (Probe, InitialMembership)):
            self._receive_bootstrap(env.body)
        elif self._member is not None:
            self._addresses_by_id[env.sender] = msg.sender
            self._run_step(lambda member: member.raft.step(env, now))
            if link is not None and self._member is not None:
                self._leader_links.record(env, link, self._member.raft.state)

    def handle_link_end(self, link: Link) -> None:
        """Campaign soon if the process of the leader has ended."""
        member = self._member
        if member is None:
            return
        st = member.raft.state
        if not self._leader_links.has_leader_ended(link, st):
            return
        now = self._now()
        member.raft.record_leader_exit(st.leader_id, st.term, now)
        self._log.info('leader_process_ended', leader=link.peer, term=st.term)
        gevent.spawn_later(max(st.election_due - now, 0.0), self._tick)

    def list_members(self) -> tuple[MemberInfo, ...]:
        """Return the members in effect, as far as this member knows.

        The tuple is empty before this member belongs to a cluster.
        """
        if self._member is None:
            return ()
        return self._member.raft.state.membership.members

    def list_sender_addresses(self) -> tuple[str, ...]:
        """Return the addresses of which messages came last, latest first.

        They are known before this member belongs to a cluster, as the others
        go on to send to the address of a member that has lost its disk.
        """
        return self._senders.list_addresses()

    def list_silent_voters(self, silent_s: float) -> list[str]:
        """Return the names of voters that have been silent for a time.

        Only the leader knows them; other members return an empty list.
        """
        if self._member is None or not self._leads():
            return []
        st = self._member.raft.state
        now = self._now()
        return [
            member.name
            for member in st.membership.members
            if member.voter
            and member.identity in st.progress
            and now - st.progress[member.identity].last_reply_at > silent_s
        ]

    def find_lost_voter(self, min_voters: int, silent_s: float) -> str | None:
        """Return the name of a voter that this member has to remove, if any.

        Only the leader knows it; other members return ``None``.

        :param min_voters: number of voters that have to stay.
        :param silent_s: silence after which any voter counts as lost.
        """
        if self._member is None or not self._leads():
            return None
        st = self._member.raft.state
        return find_lost_voter(
            st.membership.members,
            st.list_reply_times(),
            self._now(),
            min_voters=min_voters,
            silent_s=silent_s,
        )

    def compute_leaderless_s(self) -> float:
        """Return for how long this member has heard no leader, in seconds.

        It is 0 if this member leads or has no log yet.
        """
        if self._member is None or self._leads():
            return 0.0
        return self._now() - self._member.raft.state.last_leader_contact

    def get_identity(self) -> int:
        """Return the identity of this member's disk."""
        return self._identity

    def is_in_cluster(self) -> bool:
        """Return whether this member is one of a cluster's members.

        That may be by an entry that is not committed and will be replaced.
        """
        return any(
            member.identity == self._identity for member in self.list_members()
        )

    def count_sent_bytes(self) -> int:
        """Return the number of bytes sent to other members."""
        return self._peers.count_sent_bytes()

    def _open(self) -> None:
        if self._disk is not None:
            self._disk.close()
            self._disk = None
        self._disk = open_folder(
            self._data_dir,
            lock_wait_s=self._lock_wait_s,
            clock=self._time,
            log=self._log,
        )
        self._storage = Storage(self._disk)
        if self._logs_attempt:
            self._log.info('storage_opening', folder=self._data_dir)
        # In a thread, so that a disk that hangs stops nothing else.
        if self._prepare_folder is not None:
            self._call_in_thread(self._prepare_folder)
        self._loaded = self._call_in_thread(
            self._storage.open, self._bootstrap_service.make_identity()
        )
        self._identity = self._loaded.member.identity
        self._member_log.log_opened(self._loaded)
        if self._loaded.member.cluster == 0 and self._join_existing:
            self._log.warning(
                'data_folder_is_new',
                member=self._name,
                remedy='it waits to be added; if its disk was not replaced, '
                'look for its data',
            )
        self._bootstrap_service.open(self._storage, self._loaded)
        self._start_member_if_ready()

    def _call_in_thread(self, call: Callable[..., _T], *args: Any) -> _T:
        """Call a function of the storage in the thread of the pool.

        gevent reports an error that leaves the thread as an unexpected one.

        :raises StorageError: if the call does.
        """
        result: _T | StorageError = self._pool.apply(
            _return_error, (call, *args)
        )
        if isinstance(result, StorageError):
            raise result
        return result

    def _suspend(self, problem: str) -> None:
        """Stop the member until the data folder can be used again."""
        now = self._now()
        is_first = not self._reopen_delay_s
        self._reopen_delay_s = min(
            max(2 * self._reopen_delay_s, REOPEN_DELAY_S), REOPEN_MAX_DELAY_S
        )
        self._reopen_due = now + self._reopen_delay_s
        self._logs_attempt = is_first or now >= self._failure_log_due
        if self._logs_attempt:
            self._failure_log_due = now + FAILURE_LOG_INTERVAL_S
            self._log.error(
                'storage_failed',
                error=problem,
                retry_after_s=self._reopen_delay_s,
            )
        if self._member is not None:
            self._applied_index = self._member.applied_index
            self._applied_term = self._member.applied_term
            # Only this message leaves a member whose writes have failed.
            for env in self._member.raft.transfer_leadership(now).messages:
                self._send(env)
        self._member = None
        self._loaded = None
        self._bootstrap_service.close()
        self._proposals.reject_pending(self._make_not_leader())
        self._proposals.fail_all('storage_failed')
        self._state_changed.set()

    def _reopen(self) -> None:
        self._reopen_due = 0.0
        try:
            self._open()
        except StorageError as exc:
            self._suspend(str(exc))
        else:
            self._log.info('storage_recovered')

    def _tick_loop(self) -> None:
        while True:
            now = self._now()
            if self._reopen_due and now >= self._reopen_due:
                self._reopen()
            self._bootstrap_service.tick(now)
            self._tick()
            self._hand_over_if_stuck(now)
            gevent.sleep(TICK_S)

    def _hand_over_if_stuck(self, now: float) -> None:
        """Let another member lead if the disk of this one hangs.

        Heartbeats go on meanwhile, so that no election would replace a leader
        that stores nothing.
        """
        began = self._store_began
        if began is None or now - began < STORE_STALL_S or not self._leads():
            return
        self.transfer_leadership()
        if not self._leads():
            self._log.warning('storage_stuck', since_s=round(now - began, 1))

    def _tick(self) -> None:
        now = self._now()
        self._run_step(lambda member: member.raft.tick(now))
        if self._member is not None:
            self._member_log.log_changes(
                self._member.raft.state, self.get_leader_address()
            )

    def _store_loop(self) -> None:
        while True:
            self._store_wakeup.wait()
            self._store_wakeup.clear()
            while self._store_next_batch():
                pass

    def _store_next_batch(self) -> bool:
        """Propose the pending commands, and store and sync the next batch.

        :returns: whether a batch was stored.
        """
        self._propose_pending()
        member = self._member
        batch = member.take_batch() if member is not None else None
        if member is None or batch is None:
            return False
        self._store_began = self._now()
        try:
            self._call_in_thread(member.store, batch)
        except StorageError as exc:
            if member is self._member:
                self._suspend(str(exc))
            return False
        finally:
            self._store_began = None
        if member is self._member:
            self._reopen_delay_s = 0.0
        self._finish_stored(member, batch)
        return True

    def _finish_stored(self, member: Member, batch: Batch) -> None:
        if member is not self._member:
            return

        def stored(_member: Member) -> Effects:
            member.finish_batch(batch, self._now())
            return Effects()

        self._run_step(stored)

    def _run_step(self, call: Callable[[Member], Effects]) -> None:
        member = self._member
        if member is None:
            return
        try:
            member.handle_effects(call(member))
        except Exception as exc:
            self._stop_member(exc)
            raise
        self._after_step()

    def _stop_member(self, exc: BaseException) -> None:
        """Stop for good after an unexpected error.

        A safety rule was violated, the state machine raised or a loop ended.
        If this member continued, its state could diverge from the others.
        """
        if self._has_failed:
            return
        self._has_failed = True
        self._log.error(
            'member_stopped', error=repr(exc), trace=format_trace(exc)
        )
        self._member = None
        self._loaded = None
        self._bootstrap_service.close()
        self._proposals.fail_all('member_stopped')
        self._state_changed.set()
        if self._on_failure is not None:
            self._on_failure()

    def _after_step(self) -> None:
        self._store_wakeup.set()
        self._state_changed.set()
        self._state_changed.clear()
        if self._proposals.has_tracked() and not self._leads():
            self._proposals.fail_all('leader_changed')

    def _propose_pending(self) -> None:
        """Propose the commands that arrived during the last sync together."""
        member = self._member
        if member is None or not self._proposals.has_pending():
            return
        commands = self._proposals.list_pending()
        first, effects = member.raft.propose(commands, self._now())
        if isinstance(first, NotLeader):
            self._proposals.reject_pending(self._make_not_leader())
        else:
            self._proposals.mark_appended(first, member.raft.state.term)
        self._run_step(lambda _member: effects)

    def _on_applied(self, entry: Entry, result: Any) -> None:
        self._proposals.resolve(entry, result, self._make_not_leader)

    def _remove(self, name: str) -> int | Refused | NotLeader | Unreachable:
        assert self._member is not None, 'a leader has an open log'
        result, effects = self._member.raft.remove_member(name, self._now())
        return self._await_change(result, effects)

    def _request_identity(self, name: str, address: str) -> int | Unreachable:
        """Ask a new member for its identity until it answers.

        Questions are dropped with a link that fails, and the link to a machine
        that has lost its power fails only after a while.
        """
        deadline = self._now() + CHANGE_TIMEOUT_S
        while True:
            fut = self._bootstrap_service.request_identity(name, address)
            left_s = deadline - self._now()
            identity: int | Unreachable = wait_for_result(
                fut, max(min(IDENTITY_RETRY_S, left_s), 0.0)
            )
            is_over = left_s <= IDENTITY_RETRY_S
            if not isinstance(identity, Unreachable) or is_over:
                return identity

    def _add(self, add: str) -> int | Refused | NotLeader | Unreachable:
        name, equals, address = add.partition('=')
        if not equals or not name or ':' not in address:
            return Refused(
                reason='bad_request', detail=f'{add!r} is not name=host:port'
            )
        identity = self._request_identity(name, address)
        if isinstance(identity, Unreachable):
            return identity
        if self._member is None:
            return self._make_not_leader()
        info = MemberInfo(identity, name, address, voter=False)
        result, effects = self._member.raft.add_member(info, self._now())
        return self._await_change(result, effects)

    def _await_change(
        self, result: Any, effects: Any
    ) -> int | Refused | NotLeader | Unreachable:
        member = self._member
        answer: int | Refused | NotLeader | Unreachable = result
        fut = None
        if (
            isinstance(result, int)
            and member
            and result > member.applied_index
        ):
            fut = self._proposals.track(result, member.raft.state.term)
        self._run_step(lambda _member: effects)
        if fut is not None:
            answer = wait_for_result(fut, CHANGE_TIMEOUT_S)
        if isinstance(answer, NotLeader):
            return self._make_not_leader()
        return answer

    def _receive_bootstrap(self, body: Probe | InitialMembership) -> None:
        member = self._member
        joined = member is not None and member.raft.state.cluster != 0
        try:
            self._bootstrap_service.receive(body, joined=joined)
            self._start_member_if_ready()
        except StorageError as exc:
            self._suspend(str(exc))

    def _start_member_if_ready(self) -> None:
        """Start the member once it has a cluster or waits to be added."""
        if self._loaded is None or not self._bootstrap_service.is_ready():
            return
        assert self._storage is not None, 'the storage is open'
        loaded = self._loaded
        self._loaded = None
        self._member = Member(
            self._storage,
            loaded,
            self._machine,
            send=self._send,
            on_applied=self._on_applied,
            rng=self._rng,
            now=self._now(),
            applied_index=self._applied_index,
            applied_term=self._applied_term,
            enough_voters=self._enough_voters,
        )
        # The state machine and the core hold the data now.
        loaded.snapshot = None
        loaded.entries.clear()

    def _send(self, env: Envelope) -> None:
        address = self._get_address(env.to)
        if address is not None:
            self._peers.send(address, encode(env), self._now())

    def _send_to_address(self, address: str, body: Body) -> None:
        env = Envelope(0, self._identity, 0, 0, body)
        self._peers.send(address, encode(env), self._now())

    def _get_address(self, identity: int) -> str | None:
        """Return the address from the membership or from its last message."""
        if self._member is None:
            return None
        found = self._member.raft.state.membership.find(identity)
        return found.address if found else self._addresses_by_id.get(identity)

    def _now(self) -> float:
        return self._time.monotonic()

    def _leads(self) -> bool:
        return self._member is not None and self._member.raft.state.is_leader()

    def _make_not_leader(self) -> NotLeader:
        return NotLeader(
            reason='not_leader',
            leader=self.get_leader_address(),
            retry_after_s=0.5,
        )


def _return_error(call: Callable[..., _T], *args: Any) -> _T | StorageError:
    try:
        return call(*args)
    except StorageError as exc:
        return exc
