"""Configuration of an entry instance and the time limits of its protocols."""

from __future__ import annotations

import msgspec

from galenareel._common.settings import EntrySettings

# Interval of heartbeats to peers of the zone; others get one a second.
HEARTBEAT_INTERVAL_S = 0.2
# An entry whose event loop has stalled for longer sends no requests to its
# homes until a peer or control has answered it. Shorter than TAKEOVER_AFTER_S,
# so that it stops before its homes are taken over.
FENCE_AFTER_S = 1.0
# The homes of an entry without a heartbeat for this time are taken over.
TAKEOVER_AFTER_S = 2.0
# Interval of reports to control when nothing has changed.
REPORT_INTERVAL_S = 1.0
# A backend server without an announcement for this time gets no requests.
SILENT_AFTER_S = 5.0
# Part of an answer that is read before its head goes to the caller.
ANSWER_BUFFER_BYTES = 64 * 1024


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that protect an entry from callers and backend servers.

    A field with the name of a setting takes its value from the setting.
    """

    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    send_timeout_s: float = 20.0
    max_header_bytes: int = 32 * 1024
    max_headers: int = 100
    max_body_bytes: int = 4 * 1024 * 1024
    # Requests that arrive or are answered, over all connections.
    max_receive_bytes: int = 64 * 1024 * 1024
    max_connections: int = 2000
    max_connections_per_address: int = 1000
    max_queue: int = 512  # requests per pool
    max_queue_bytes: int = 32 * 1024 * 1024  # bodies over all pools
    max_deadline_s: float = 3600.0
    max_answer_head_bytes: int = 64 * 1024
    max_answer_bytes: int = 1024 * 1024 * 1024
    connect_timeout_s: float = 1.0
    stop_grace_s: float = 5.0
    stop_limit_s: float = 60.0


class EntryConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, secrets and limits of an entry.

    :param advertise: address at which peers reach the frames; empty if it is
        the address in ``frames``.
    """

    name: str
    zone: str
    callers: str
    announcements: str
    operators: str
    frames: str
    control: tuple[str, ...]
    cluster_secret: str
    announce_secret: str
    operator_secret: str
    advertise: str = ''
    limits: Limits = msgspec.field(default_factory=Limits)


def make_config(settings: EntrySettings) -> EntryConfig:
    """Make the configuration from the settings of the program."""
    limits = {
        name: getattr(settings, name)
        for name in Limits.__struct_fields__
        if hasattr(settings, name)
    }
    return EntryConfig(
        name=settings.name,
        zone=settings.zone,
        callers=settings.callers,
        announcements=settings.announcements,
        operators=settings.operators,
        frames=settings.frames,
        control=settings.control,
        cluster_secret=settings.cluster_secret.reveal(),
        announce_secret=settings.announce_secret.reveal(),
        operator_secret=settings.operator_secret.reveal(),
        advertise=settings.advertise,
        limits=Limits(**limits),
    )
