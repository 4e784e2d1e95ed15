"""Health of one backend server, derived from the requests it finished.

The home takes a failing server out, for one service or for all, and probes it
with idempotent requests only. After enough successful probes the server
returns with one slot, and the number of its slots doubles with its successes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

# Latest finished requests of a service that are evaluated.
WINDOW_SIZE = 20
# Fewer finished requests than this say nothing about a service.
MIN_REQUESTS = 5
# A service fails if at least this share of its requests failed.
FAILING_RATIO = 0.5
# A service is slow if its mean run time is this many times that on the other
# servers, and SLOW_MIN_S above it. Smaller differences are noise.
SLOW_FACTOR = 5.0
SLOW_MIN_S = 0.2
# Time before the first probe; it doubles with each failed probe.
PROBE_FIRST_S = 1.0
PROBE_MAX_S = 16.0
PROBES_TO_RETURN = 3
# Successes in a row before the number of usable slots doubles.
SUCCESSES_TO_DOUBLE = 4
# Key under which a server is taken out for all services.
ALL_SERVICES = ''


@dataclass(slots=True)
class _Record:
    """Latest outcomes and mean run time of one service on one server."""

    window: deque[bool] = field(
        default_factory=lambda: deque(maxlen=WINDOW_SIZE)
    )
    failures: int = 0
    mean_s: float = 0.0

    def add(self, ok: bool, run_s: float) -> None:
        if len(self.window) == WINDOW_SIZE and not self.window[0]:
            self.failures -= 1
        self.window.append(ok)
        self.failures += not ok
        self.mean_s += (run_s - self.mean_s) / min(
            len(self.window), WINDOW_SIZE
        )

    def is_failing(self) -> bool:
        count = len(self.window)
        return count >= MIN_REQUESTS and self.failures >= FAILING_RATIO * count


@dataclass(slots=True)
class _Removal:
    """Probing of one service, or of all, that is taken out.

    :ivar next_probe: when the next probe may start, on the monotonic clock.
    :ivar successes: successful probes in a row.
    """

    next_probe: float
    interval_s: float = PROBE_FIRST_S
    successes: int = 0
    probing: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthChange:
    """Change of a server's health by a finished request.

    :ivar service: ALL_SERVICES if all are concerned.
    :ivar taken_out: true if taken out, false if returned.
    """

    service: str
    taken_out: bool


class Health:
    """Health of one backend server, by service."""

    __slots__ = ('_records', '_removals', '_slot_limit', '_successes')

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._removals: dict[str, _Removal] = {}
        # Number of usable slots while the server returns, else None.
        self._slot_limit: int | None = None
        self._successes = 0

    def is_out(self, service: str) -> bool:
        return bool(self._removals) and (
            ALL_SERVICES in self._removals or service in self._removals
        )

    def is_suspect(self) -> bool:
        """Return whether no service gets ordinary requests."""
        return ALL_SERVICES in self._removals

    def is_impaired(self) -> bool:
        """Return whether any service gets no ordinary requests."""
        return bool(self._removals)

    def limit_slots(self, slots: int) -> int:
        """Return how many slots may be used while the server returns."""
        return (
            slots if self._slot_limit is None else min(slots, self._slot_limit)
        )

    def get_mean_run_s(self, service: str) -> float:
        """Return the mean run time of a service; 0 after too few requests."""
        record = self._records.get(service)
        if record is None or len(record.window) < MIN_REQUESTS:
            return 0.0
        return record.mean_s

    def mark_ejected(self, *, now: float) -> None:
        """Take the server out after a committed ejection."""
        if ALL_SERVICES not in self._removals:
            self._removals[ALL_SERVICES] = _Removal(
                next_probe=now + PROBE_FIRST_S
            )

    def may_probe(self, service: str, *, now: float) -> bool:
        """Return whether an idempotent request may be sent as a probe now."""
        removal = self._removals.get(ALL_SERVICES) or self._removals.get(
            service
        )
        return (
            removal is not None
            and not removal.probing
            and now >= removal.next_probe
        )

    def start_probe(self, service: str) -> None:
        removal = self._removals.get(ALL_SERVICES) or self._removals[service]
        removal.probing = True

    def finish_probe(
        self, service: str, *, ok: bool | None, now: float
    ) -> HealthChange | None:
        """Record the end of a probe; return the change if that is a return.

        :param ok: None if the probe tells nothing, for example because it was
            cancelled.
        """
        key = ALL_SERVICES if ALL_SERVICES in self._removals else service
        removal = self._removals.get(key)
        if removal is None:
            return None
        removal.probing = False
        if ok is None:
            return None
        if not ok:
            removal.successes = 0
            removal.interval_s = min(PROBE_MAX_S, removal.interval_s * 2)
            removal.next_probe = now + removal.interval_s
            return None
        removal.successes += 1
        removal.next_probe = now + PROBE_FIRST_S / PROBES_TO_RETURN
        if removal.successes < PROBES_TO_RETURN:
            return None
        del self._removals[key]
        self._clear_records(key)
        self._slot_limit, self._successes = 1, 0
        return HealthChange(service=key, taken_out=False)

    def record_request(
        self,
        service: str,
        *,
        ok: bool,
        run_s: float,
        now: float,
        may_take_out: bool,
        other_mean_s: float = 0.0,
    ) -> HealthChange | None:
        """Record the end of an ordinary request; return any change of health.

        A service that fails or is slow is taken out. If no other service here
        is known to work, the server is taken out for all services.

        :param may_take_out: the pool's availability budget allows it.
        :param other_mean_s: mean run time of the service on other servers; 0
            if unknown.
        """
        record = self._records.setdefault(service, _Record())
        record.add(ok, run_s)
        self._raise_slot_limit(ok)
        is_bad = record.is_failing() or _is_slow(record, other_mean_s)
        if not is_bad or not may_take_out or self.is_out(service):
            return None
        others = [
            other
            for key, other in self._records.items()
            if key != service and len(other.window) >= MIN_REQUESTS
        ]
        is_other_service_healthy = any(
            not other.is_failing() for other in others
        )
        key = service if is_other_service_healthy else ALL_SERVICES
        self._removals[key] = _Removal(next_probe=now + PROBE_FIRST_S)
        return HealthChange(service=key, taken_out=True)

    def _raise_slot_limit(self, ok: bool) -> None:
        if self._slot_limit is None:
            return
        self._successes = self._successes + 1 if ok else 0
        if self._successes >= SUCCESSES_TO_DOUBLE:
            self._slot_limit *= 2
            self._successes = 0
        if self._slot_limit > 64:
            self._slot_limit = None

    def _clear_records(self, key: str) -> None:
        if key == ALL_SERVICES:
            self._records.clear()
        else:
            self._records.pop(key, None)


def _is_slow(record: _Record, other_mean_s: float) -> bool:
    if other_mean_s <= 0.0 or len(record.window) < MIN_REQUESTS * 2:
        return False
    limit_s = max(SLOW_FACTOR * other_mean_s, other_mean_s + SLOW_MIN_S)
    return record.mean_s > limit_s
