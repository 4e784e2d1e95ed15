"""Let large tasks start although small ones could use up the limit for good.

Load pattern: a workspace near its limit starts a small task whenever one of
its runs ends, so that the room for a large task or a whole gang never becomes
free. Once such a task has been passed over for a while, the tasks that come
after it wait until it has started.
"""

from __future__ import annotations

from dataclasses import dataclass

from galenareel._scheduling.ranking import classify_timeliness
from galenareel._scheduling.tables import StepWork

# About half of the time that a job can wait and still be on time. The other
# half is left for runs to end.
PASSED_OVER_S = 0.5
# A task that has not started this long after that is not waited for any more:
# lasting tasks may fill the limit for good. Other tasks take up to 3.3 s.
MAX_BLOCK_S = 5.0
# Waiting tasks are tried at least four times a second. One that was not tried
# for this long no longer waits for the limit.
SEEN_S = 1.0

StepKey = tuple[str, int, int]


@dataclass(slots=True, kw_only=True)
class Held:
    """A step with a large task that its workspace's limit holds back.

    :param since: when the limit first held it back, in seconds.
    :param timeliness: class of its job at that time.
    :param seen_at: when the limit last held it back.
    """

    since: float
    timeliness: int
    seen_at: float


class PassedOver:
    """The large tasks of one workspace that wait for its limit."""

    def __init__(self) -> None:
        self._held: dict[StepKey, Held] = {}
        # The step for which others wait, found once in a pass.
        self._first: StepKey | None = None
        self._found_at: float | None = None

    def hold(self, step: StepWork, now: float) -> None:
        """Note that the limit holds back a step with a large task."""
        held = self._held.get(_make_key(step))
        if held is None:
            self._held[_make_key(step)] = Held(
                since=now,
                timeliness=classify_timeliness(step.job, now),
                seen_at=now,
            )
        else:
            held.seen_at = now

    def release(self, step: StepWork) -> None:
        """Note that a step may start."""
        if self._held.pop(_make_key(step), None) is not None:
            self._found_at = None

    def is_blocked(self, step: StepWork, now: float) -> bool:
        """Return whether a step has to wait for one that came before it."""
        own = self._held.get(_make_key(step))
        if own is not None:
            own.seen_at = now  # it may wait for another large one
        if self._found_at != now:
            self._first = self._find_first(now)
            self._found_at = now
        if self._first is None or self._first == _make_key(step):
            return False
        timeliness = self._held[self._first].timeliness
        return classify_timeliness(step.job, now) >= timeliness

    def _find_first(self, now: float) -> StepKey | None:
        """Return the step for which others wait now, or ``None``."""
        self._held = {
            key: held
            for key, held in self._held.items()
            if now - held.seen_at <= SEEN_S
        }
        for key, held in self._held.items():
            if now - held.since < PASSED_OVER_S:
                return None  # the later ones wait even less
            if now - held.since <= PASSED_OVER_S + MAX_BLOCK_S:
                return key
        return None


def _make_key(step: StepWork) -> StepKey:
    return step.job.name, step.occurrence, step.number
