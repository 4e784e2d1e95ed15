"""Health of one backend server, judged by its home from finished requests.

A server that fails is taken out for all services or for one, is probed with
idempotent requests only, and returns with a share of slots that doubles.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

WINDOW = 20  # finished requests that are judged
MIN_JUDGED = 5
FAILED_SHARE = 0.5
SLOW_FACTOR = 5.0  # against the mean of the same service elsewhere
SLOW_MIN_S = 0.2  # differences below this are noise
PROBE_FIRST_S = 1.0
PROBE_MAX_S = 16.0
PROBES_TO_RETURN = 3
STEP_SUCCESSES = 4  # successes before the share of slots doubles
ALL_SERVICES = ''  # key of the judgement over all services


@dataclass(slots=True)
class _Record:
    """Latest outcomes of one service on one server."""

    window: deque[bool] = field(default_factory=lambda: deque(maxlen=WINDOW))
    failures: int = 0
    mean_s: float = 0.0

    def add(self, ok: bool, run_s: float) -> None:
        if len(self.window) == WINDOW and not self.window[0]:
            self.failures -= 1
        self.window.append(ok)
        self.failures += not ok
        self.mean_s += (run_s - self.mean_s) / min(len(self.window), WINDOW)

    def fails(self) -> bool:
        count = len(self.window)
        return count >= MIN_JUDGED and self.failures >= FAILED_SHARE * count


@dataclass(slots=True)
class _Out:
    """One service (or all) that is taken out."""

    next_probe: float
    interval_s: float = PROBE_FIRST_S
    good: int = 0
    probing: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthChange:
    """What a finished request changed."""

    service: str
    taken_out: bool


class Health:
    """Judgement of one backend server."""

    __slots__ = ('_out', '_records', '_share', '_share_good')

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._out: dict[str, _Out] = {}
        self._share: int | None = None  # slots while returning
        self._share_good = 0

    def is_out(self, service: str) -> bool:
        return bool(self._out) and (
            ALL_SERVICES in self._out or service in self._out
        )

    def is_suspect(self) -> bool:
        """Whether no service gets ordinary work."""
        return ALL_SERVICES in self._out

    def is_impaired(self) -> bool:
        """Whether any service gets no ordinary work."""
        return bool(self._out)

    def limit_slots(self, slots: int) -> int:
        """Slots that may be used while the server returns."""
        return slots if self._share is None else min(slots, self._share)

    def get_mean_run_s(self, service: str) -> float:
        """Mean run time of a service here; 0 if too few are known."""
        record = self._records.get(service)
        if record is None or len(record.window) < MIN_JUDGED:
            return 0.0
        return record.mean_s

    def mark_ejected(self, *, now: float) -> None:
        """Follow a committed ejection."""
        if ALL_SERVICES not in self._out:
            self._out[ALL_SERVICES] = _Out(next_probe=now + PROBE_FIRST_S)

    def may_probe(self, service: str, *, now: float) -> bool:
        """Whether an idempotent request of a service may go as a probe."""
        out = self._out.get(ALL_SERVICES) or self._out.get(service)
        return out is not None and not out.probing and now >= out.next_probe

    def probe(self, service: str) -> None:
        out = self._out.get(ALL_SERVICES) or self._out[service]
        out.probing = True

    def finish_probe(
        self, service: str, *, ok: bool | None, now: float
    ) -> HealthChange | None:
        """:param ok: None if the probe says nothing, e.g. was cancelled."""
        key = ALL_SERVICES if ALL_SERVICES in self._out else service
        out = self._out.get(key)
        if out is None:
            return None
        out.probing = False
        if ok is None:
            return None
        if not ok:
            out.good = 0
            out.interval_s = min(PROBE_MAX_S, out.interval_s * 2)
            out.next_probe = now + out.interval_s
            return None
        out.good += 1
        out.next_probe = now + PROBE_FIRST_S / PROBES_TO_RETURN
        if out.good < PROBES_TO_RETURN:
            return None
        del self._out[key]
        self._forget(key)
        self._share, self._share_good = 1, 0
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
        """Judge after an ordinary request.

        :param may_take_out: the pool's availability budget allows it.
        :param other_mean_s: mean run time of the service on other servers.
        """
        record = self._records.setdefault(service, _Record())
        record.add(ok, run_s)
        self._grow_share(ok)
        bad = record.fails() or _is_slow(record, other_mean_s)
        if not bad or not may_take_out or self.is_out(service):
            return None
        others = [
            one
            for key, one in self._records.items()
            if key != service and len(one.window) >= MIN_JUDGED
        ]
        healthy_elsewhere = any(not one.fails() for one in others)
        key = service if healthy_elsewhere else ALL_SERVICES
        self._out[key] = _Out(next_probe=now + PROBE_FIRST_S)
        return HealthChange(service=key, taken_out=True)

    def _grow_share(self, ok: bool) -> None:
        if self._share is None:
            return
        self._share_good = self._share_good + 1 if ok else 0
        if self._share_good >= STEP_SUCCESSES:
            self._share *= 2
            self._share_good = 0
        if self._share > 64:
            self._share = None

    def _forget(self, key: str) -> None:
        if key == ALL_SERVICES:
            self._records.clear()
        else:
            self._records.pop(key, None)


def _is_slow(record: _Record, other_mean_s: float) -> bool:
    if other_mean_s <= 0.0 or len(record.window) < MIN_JUDGED * 2:
        return False
    bound = max(SLOW_FACTOR * other_mean_s, other_mean_s + SLOW_MIN_S)
    return record.mean_s > bound
