"""Typed messages between the processes of the system.

Every message is a tagged struct, so the receiver can match on its type.
"""

from __future__ import annotations

import msgspec

from galenareel._common.rows import DocumentRow
from galenareel._common.rows import EntryRow
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import StoredAnswer


class Message(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base class of all messages.

    Messages are encoded as arrays without field names, which halves the size
    of a heartbeat. Therefore fields must not be reordered, and new fields are
    added at the end with a default.
    """


class Hello(Message, frozen=True):
    """First message on a link; the receiver closes it on a wrong secret."""

    process: str
    secret: str


class Welcome(Message, frozen=True):
    """The secret matched."""

    process: str


class Problem(Message, frozen=True):
    """A request was refused or failed; nothing was changed.

    :param reason: machine-readable word, e.g. ``not_leader``, ``conflict``.
    :param leader: frame address of the leader, to which the request should be
        sent instead; empty if that does not apply.
    """

    reason: str
    detail: str = ''
    leader: str = ''
    retry_after_s: float | None = None


class Done(Message, frozen=True):
    """A request that returns no data succeeded.

    :param index: log index of the change, or 0.
    """

    index: int = 0


class Announcement(Message, frozen=True):
    """Status that a backend server sends of itself once a second.

    :param service: service that it is built for; determines its first pool.
    :param in_use: requests that it is running.
    :param leaving: it is about to stop.
    """

    instance: str
    address: str
    zone: str
    rack: str
    service: str
    incarnation: str
    slots: int = 8
    connections: int = 64
    in_use: int = 0
    leaving: bool = False


class Drained(Message, frozen=True):
    """The home entry has no request in flight on a draining instance."""

    instance: str
    epoch: int
    home_epoch: int


class PoolLoad(Message, frozen=True):
    """Demand of one pool at one entry since the last report.

    :param arrived: requests that arrived, urgent and deferrable.
    :param queued_urgent: urgent requests in the queue.
    :param oldest_wait_s: time for which the oldest urgent request has waited.
    :param refused: requests refused without having been run.
    """

    pool: str
    arrived: int = 0
    queued_urgent: int = 0
    queued_deferrable: int = 0
    oldest_wait_s: float = 0.0
    refused: int = 0


class InstanceLoad(Message, frozen=True):
    """Load and health of one backend server, measured by its home entry.

    :param work_left_s: estimated remaining run time of requests in flight.
    :param silent_s: time since its last announcement.
    :param finished: requests that ended since the last report.
    :param failed: those of them that failed.
    :param suspect: because of failures, the home sends it only probes for at
        least one service.
    """

    instance: str
    in_use: int = 0
    work_left_s: float = 0.0
    silent_s: float = 0.0
    finished: int = 0
    failed: int = 0
    suspect: bool = False


class EntryReport(Message, frozen=True):
    """Report of an entry once a second; renews its session.

    :param index: log index of the entry's view.
    :param announcements: only the new and the changed ones.
    :param silent_peers: entries of its own zone not heard for over 2 s.
    :param taken: instances whose home the entry took over while it was cut
        off, with the home epoch that ended thereby.
    :param released: instances with a next home that have no request in
        flight and get no new work, with their home epoch.
    """

    entry: str
    incarnation: str
    index: int
    pools: tuple[PoolLoad, ...] = ()
    instances: tuple[InstanceLoad, ...] = ()
    announcements: tuple[Announcement, ...] = ()
    drained: tuple[Drained, ...] = ()
    silent_peers: tuple[str, ...] = ()
    stopping: bool = False
    taken: tuple[tuple[str, int], ...] = ()
    released: tuple[tuple[str, int], ...] = ()


class OpenSession(Message, frozen=True):
    """An entry opens a session with the leader and asks for the view.

    :param frames: ``host:port`` where its peers reach it.
    :param index: log index of the view that the entry holds, or 0.
    """

    entry: str
    zone: str
    frames: str
    incarnation: str
    index: int = 0


class SessionOpened(Message, frozen=True):
    """The view at a log index.

    :param lease_s: validity of the session, from when the request was sent.
    """

    index: int
    lease_s: float
    instances: tuple[InstanceRow, ...]
    entries: tuple[EntryRow, ...]
    document: DocumentRow | None = None


class Renewed(Message, frozen=True):
    """The session was renewed.

    :param lease_s: validity of the session, from when the report was sent.
    """

    index: int
    lease_s: float


class ViewDelta(Message, frozen=True):
    """Rows changed by the log entries after ``previous`` up to ``index``.

    An entry applies it only to a view at ``previous``; otherwise it opens its
    session again.
    """

    previous: int
    index: int
    instances: tuple[InstanceRow, ...] = ()
    entries: tuple[EntryRow, ...] = ()
    document: DocumentRow | None = None
    removed_instances: tuple[str, ...] = ()


class Claim(Message, frozen=True):
    """Ask for the right to run a request with an idempotency key.

    The reply is a :class:`ClaimReply`.
    """

    key: str
    caller: str
    digest: str
    holder: str


class ClaimReply(Message, frozen=True):
    """Result of a claim.

    :param state: ``granted``, ``running``, ``answered``, ``unknown`` or
        ``mismatch`` (the key was used for another request).
    :param answer: stored answer, if the state is ``answered``.
    """

    state: str
    answer: StoredAnswer | None = None


class SettleClaim(Message, frozen=True):
    """Record the outcome of a claimed request.

    :param state: ``answered``, ``unknown`` or ``released`` (nothing ran).
    """

    key: str
    caller: str
    holder: str
    state: str
    answer: StoredAnswer | None = None


class OperatorCall(Message, frozen=True):
    """An operator's HTTP request, relayed to the leader.

    The operations and the fields of the JSON body are in docs/protocol.md.
    """

    operation: str
    body: bytes = b'{}'


class OperatorAnswer(Message, frozen=True):
    """Answer to an operator's request.

    :param status: HTTP status.
    :param body: encoded JSON.
    """

    status: int
    body: bytes


class ReadEvents(Message, frozen=True):
    """Ask a process for its events.

    :param since: hybrid time after which events are returned.
    """

    since: int = 0


class EventsRead(Message, frozen=True):
    """Events of one process.

    :param events: JSON list of :class:`galenareel._common.events.Event`.
    """

    process: str
    events: bytes


class HomeLoad(Message, frozen=True):
    """Free slots and queued requests of one pool at one entry."""

    pool: str
    free: int
    queued: int = 0


class PeerHeartbeat(Message, frozen=True):
    """Heartbeat of an entry, also the reply to a peer's heartbeat.

    It is sent five times a second within a zone and once a second to other
    zones.

    :param index: log index of the sender's view.
    :param pools: free slots of the instances that it is home of; ``None`` if
        they have not changed since its last heartbeat to this receiver.
    :param fenced: the sender has stopped sending new work, because its event
        loop had stalled.
    :param taken: instances whose home the sender took over from another
        entry, with the home epoch that ended thereby.
    """

    entry: str
    incarnation: str
    index: int
    pools: tuple[HomeLoad, ...] | None = ()
    fenced: bool = False
    stopping: bool = False
    taken: tuple[tuple[str, int], ...] = ()


class RelayAnnouncement(Message, frozen=True):
    """Announcement received by another entry of the zone."""

    announcement: Announcement


class ServerHeard(Message, frozen=True):
    """Short form of a relayed announcement.

    Everything but ``in_use`` is as in the last relayed announcement of the
    instance.
    """

    instance: str
    in_use: int


class Forward(Message, frozen=True):
    """Caller's request, forwarded to the home entry.

    A link carries one forwarded request at a time.

    :param deadline_s: remaining time when it was sent.
    :param caller: used by the home to share slots fairly between callers.
    """

    request_id: str
    service: str
    pool: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    deadline_s: float
    idempotent: bool
    body: bytes = b''
    urgent: bool = True
    caller: str = ''


class ForwardRefused(Message, frozen=True):
    """The receiver has no free slot or is not the home; nothing ran."""

    reason: str
    free: int = 0
    retry_after_s: float | None = None


class ForwardFailed(Message, frozen=True):
    """The request got no complete answer from the backend server.

    :param sent: a part of it may have reached the backend server.
    """

    reason: str
    sent: bool


class ForwardHead(Message, frozen=True):
    """Status and headers of the backend server's answer.

    :param length: size of the body in bytes, if it is known.
    :param body: first part of the body.
    :param is_complete: ``body`` is the whole body; neither a
        :class:`ForwardChunk` nor a :class:`ForwardEnd` follows.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None = None
    body: bytes = b''
    is_complete: bool = False


class ForwardChunk(Message, frozen=True):
    """Next part of the body."""

    data: bytes


class ForwardEnd(Message, frozen=True):
    """End of the body.

    :param size: size of the body in bytes, checked by the receiver.
    """

    size: int


class PeerMessage(Message, frozen=True):
    """Message of the consensus package.

    :param body: encoded by the consensus package.
    """

    sender: str
    body: bytes


class JobCall(Message, frozen=True):
    """Caller's request about a job or a queue, sent to the leader.

    :param operation: ``submit``, ``status``, ``cancel`` or ``count``.
    :param path: path of the request; the queue with the longest matching
        prefix is used.
    :param request: encoded ``JobRequest`` of a submission.
    :param repeated: an earlier try got no answer, so the job may have been
        accepted already.
    :param key: key of the caller's workspace, or empty.
    """

    operation: str
    host: str
    path: str
    request: bytes = b''
    caller_zone: str = ''
    repeated: bool = False
    key: str = ''


class JobAnswer(Message, frozen=True):
    """Answer to a :class:`JobCall`.

    :param outcome: ``accepted``, ``found``, ``cancelled``, ``counted``,
        ``no_queue``, ``no_job``, ``unknown_key``, ``refused``, ``invalid``,
        ``not_ready`` or ``unknown``.
    :param phase: state of the job that was found.
    :param count: jobs waiting in the queue.
    :param detail: more about the outcome; of ``unknown_key``, which process
        refused it, ``front`` or ``leader``; of ``found``, why the job was
        given up.
    :param version: version of the configuration that decided, or 0.
    """

    outcome: str
    phase: str = ''
    count: int = 0
    detail: str = ''
    retry_after_s: float | None = None
    version: int = 0


class KeyRow(Message, frozen=True):
    """Digests of all keys of workspaces.

    :param salt: key of the digests.
    """

    salt: bytes
    digests: tuple[bytes, ...]


class ClusterQuery(Message, frozen=True):
    """Ask for the leader and the members of the cluster.

    :param keys_id: name of the set of key digests that the sender holds, or
        empty.
    """

    keys_id: str = ''


class ClusterView(Message, frozen=True):
    """Leader and members of the cluster.

    :param leader: frame address of the leader; empty if it is unknown.
    :param is_leader: the answering member is the leader and has a valid
        lease.
    :param members: frame addresses of all members. From a member that belongs
        to no cluster, those of the members that it knows of.
    :param identities: identities of the members; empty from a member that
        belongs to no cluster, and from earlier builds.
    :param keys_id: name of the set of key digests in force, or empty if the
        leader checks no keys.
    :param keys: that set, unless the query names the same one.
    :param version: version of the configuration in force, or 0.
    """

    leader: str = ''
    is_leader: bool = False
    members: tuple[str, ...] = ()
    keys_id: str = ''
    keys: KeyRow | None = None
    version: int = 0
    identities: tuple[int, ...] = ()


class JoinCluster(Message, frozen=True):
    """Ask the leader to add the sender to the cluster.

    :param address: frame address of the sender.
    """

    name: str
    address: str


class LeaveCluster(Message, frozen=True):
    """Tell the leader that the sender stops.

    The leader removes it if the other voters bear more losses without it.
    """

    name: str


AnyMessage = (
    Hello
    | Welcome
    | Problem
    | Done
    | Announcement
    | Drained
    | PoolLoad
    | InstanceLoad
    | EntryReport
    | OpenSession
    | SessionOpened
    | Renewed
    | ViewDelta
    | Claim
    | ClaimReply
    | SettleClaim
    | OperatorCall
    | OperatorAnswer
    | ReadEvents
    | EventsRead
    | HomeLoad
    | PeerHeartbeat
    | RelayAnnouncement
    | ServerHeard
    | Forward
    | ForwardRefused
    | ForwardFailed
    | ForwardHead
    | ForwardChunk
    | ForwardEnd
    | PeerMessage
    | JobCall
    | JobAnswer
    | ClusterQuery
    | ClusterView
    | JoinCluster
    | LeaveCluster
)
