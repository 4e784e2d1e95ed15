"""Typed messages between the processes of the system.

Every message is a tagged struct. Answers to the same request share a union,
so that a reader can match on the type.
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
    """Base of all messages.

    Arrays carry no field names, which halves the bytes of a heartbeat; new
    fields go at the end of a message and have a default.
    """


class Hello(Message, frozen=True):
    """First message on a link; a wrong secret closes it."""

    process: str
    secret: str


class Welcome(Message, frozen=True):
    """The secret was right."""

    process: str


class Problem(Message, frozen=True):
    """A request was refused or failed; nothing was changed.

    :param reason: machine-readable word, e.g. ``not_leader``, ``conflict``.
    :param leader: frame address of the leader, where that is the remedy.
    """

    reason: str
    detail: str = ''
    leader: str = ''
    retry_after_s: float | None = None


class Done(Message, frozen=True):
    """A request without a result of its own succeeded."""

    index: int = 0


# --- entry to control -------------------------------------------------------


class Announcement(Message, frozen=True):
    """What a backend server says of itself once a second.

    :param in_use: requests that it runs now.
    :param service: the service it is meant for; decides its first pool.
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
    """The home has no request in flight on a draining instance."""

    instance: str
    epoch: int
    home_epoch: int


class PoolLoad(Message, frozen=True):
    """Demand of one pool at one entry since the last report.

    :param arrived: requests that arrived, urgent and deferrable.
    :param queued_urgent: urgent requests that wait now.
    :param oldest_wait_s: how long the oldest urgent one has waited.
    :param refused: requests refused as not run since the last report.
    """

    pool: str
    arrived: int = 0
    queued_urgent: int = 0
    queued_deferrable: int = 0
    oldest_wait_s: float = 0.0
    refused: int = 0


class InstanceLoad(Message, frozen=True):
    """What the home knows of one backend server.

    :param work_left_s: estimate of the remaining run time in flight.
    :param silent_s: time since its last announcement.
    :param suspect: the home has stopped giving it work for its failures.
    """

    instance: str
    in_use: int = 0
    work_left_s: float = 0.0
    silent_s: float = 0.0
    finished: int = 0
    failed: int = 0
    suspect: bool = False


class EntryReport(Message, frozen=True):
    """Sent once a second; renews the session.

    :param taken: homes that the entry took over while it was cut off, with
        the home epoch that this ended.
    :param released: homes with a next home that have nothing in flight and
        get no new work, with their home epoch.
    """

    entry: str
    incarnation: str
    index: int
    pools: tuple[PoolLoad, ...] = ()
    instances: tuple[InstanceLoad, ...] = ()
    announcements: tuple[Announcement, ...] = ()  # new or changed only
    drained: tuple[Drained, ...] = ()
    silent_peers: tuple[str, ...] = ()  # of its own zone, over 2 s
    stopping: bool = False
    taken: tuple[tuple[str, int], ...] = ()
    released: tuple[tuple[str, int], ...] = ()


class OpenSession(Message, frozen=True):
    """An entry joins the leader and asks for the view after ``index``."""

    entry: str
    zone: str
    frames: str
    incarnation: str
    index: int = 0


class SessionOpened(Message, frozen=True):
    """The view as of ``index``; valid for ``lease_s`` from the request."""

    index: int
    lease_s: float
    instances: tuple[InstanceRow, ...]
    entries: tuple[EntryRow, ...]
    document: DocumentRow | None = None


class Renewed(Message, frozen=True):
    """The session goes on for ``lease_s`` from when the report was sent."""

    index: int
    lease_s: float


class ViewDelta(Message, frozen=True):
    """Rows changed by the commits after ``previous`` up to ``index``.

    An entry applies it only if it stands at ``previous``; otherwise it opens
    its session again.
    """

    previous: int
    index: int
    instances: tuple[InstanceRow, ...] = ()
    entries: tuple[EntryRow, ...] = ()
    document: DocumentRow | None = None
    removed_instances: tuple[str, ...] = ()


class Claim(Message, frozen=True):
    """Ask for the right to run a keyed request; answered by ClaimReply."""

    key: str
    caller: str
    digest: str
    holder: str


class ClaimReply(Message, frozen=True):
    """:param state: ``granted``, ``running``, ``answered``, ``unknown`` or
    ``mismatch`` (same key, another request).
    """

    state: str
    answer: StoredAnswer | None = None


class SettleClaim(Message, frozen=True):
    """The outcome of a claimed request.

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
    """:param status: HTTP status; ``body`` is JSON."""

    status: int
    body: bytes


class ReadEvents(Message, frozen=True):
    """Ask a process for its events after a hybrid time."""

    since: int = 0


class EventsRead(Message, frozen=True):
    """:param events: JSON list of :class:`galenareel._common.events.Event`."""

    process: str
    events: bytes


# --- entry to entry ---------------------------------------------------------


class HomeLoad(Message, frozen=True):
    """Free slots and waiting work of one pool at one entry."""

    pool: str
    free: int
    queued: int = 0


class PeerHeartbeat(Message, frozen=True):
    """Sent five times a second in the zone, once a second across zones.

    As a request it is answered by the receiver's own heartbeat.

    :param pools: free slots of its homes; ``None`` if they are the same as
        in its last heartbeat to this receiver.
    :param taken: homes that the sender has got from another entry, with the
        home epoch that this ended.
    """

    entry: str
    incarnation: str
    index: int
    pools: tuple[HomeLoad, ...] | None = ()
    fenced: bool = False
    stopping: bool = False
    taken: tuple[tuple[str, int], ...] = ()


class RelayAnnouncement(Message, frozen=True):
    """An announcement that reached another entry of the zone."""

    announcement: Announcement


class ServerHeard(Message, frozen=True):
    """A server announced itself to another entry of the zone, unchanged.

    Stands for the last relayed announcement with another in-use count.
    """

    instance: str
    in_use: int


class Forward(Message, frozen=True):
    """A caller's request passed on to the home; first on a fresh link.

    :param deadline_s: time left when it was sent.
    :param caller: for the home's fairness between callers.
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
    """The home had no free slot or is not the home; nothing ran."""

    reason: str
    free: int = 0
    retry_after_s: float | None = None


class ForwardFailed(Message, frozen=True):
    """It left for the backend server and has no whole answer.

    :param sent: whether a byte may have reached the backend server.
    """

    reason: str
    sent: bool


class ForwardHead(Message, frozen=True):
    """Status and headers of the backend server's answer.

    :param body: first part of the body.
    :param is_complete: ``body`` is all of it; neither a chunk nor an end
        follows.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None = None
    body: bytes = b''
    is_complete: bool = False


class ForwardChunk(Message, frozen=True):
    """A part of the body."""

    data: bytes


class ForwardEnd(Message, frozen=True):
    """The body is whole.

    :param size: bytes of the body, checked by the receiver.
    """

    size: int


# --- control to control -----------------------------------------------------


class PeerMessage(Message, frozen=True):
    """A message of the consensus core; its codec is the core's own."""

    sender: str
    body: bytes


# --- jobs --------------------------------------------------------------------


class JobCall(Message, frozen=True):
    """A caller's request about a job or a queue, for the leader.

    :param operation: ``submit``, ``status``, ``cancel`` or ``count``.
    :param path: path of the request; its queue is the longest prefix.
    :param request: encoded ``JobRequest`` of a submission.
    """

    operation: str
    host: str
    path: str
    request: bytes = b''
    caller_zone: str = ''


class JobAnswer(Message, frozen=True):
    """What became of a :class:`JobCall`.

    :param outcome: ``accepted``, ``found``, ``cancelled``, ``counted``,
        ``no_queue``, ``no_job``, ``refused``, ``invalid``, ``not_ready`` or
        ``unknown``.
    :param phase: state of the job that was found.
    :param count: jobs that wait in the queue.
    """

    outcome: str
    phase: str = ''
    count: int = 0
    detail: str = ''
    retry_after_s: float | None = None


class ClusterQuery(Message, frozen=True):
    """Who leads, and who belongs to the cluster?"""


class ClusterView(Message, frozen=True):
    """:param leader: frame address of the leader, or empty.
    :param is_leader: the answering member leads and its lease holds.
    :param members: frame addresses of all members.
    """

    leader: str = ''
    is_leader: bool = False
    members: tuple[str, ...] = ()


class JoinCluster(Message, frozen=True):
    """A member without a cluster asks the leader to be added."""

    name: str
    address: str


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
)
