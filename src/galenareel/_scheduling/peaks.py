"""Learn the start and the length of the peaks of a pool.

Load pattern: the pools peak in turn, so that the peak of a pool begins a
similar time after that of the pool before it.
"""

from __future__ import annotations

from dataclasses import dataclass

SAMPLE_WEIGHT = 0.5  # weight of the newest peak in the moving means
# After a longer pause between two peaks it is not learned, as the load has
# stopped meanwhile.
MAX_LAG_S = 60.0
# A peak has ended once its load has been low for this time; the work of a few
# large jobs may arrive with shorter pauses.
MIN_PAUSE_S = 1.5
# A shorter peak is over before moved instances arrive, so its end is of no
# use, and may be a dip that was taken for it.
MIN_LENGTH_S = 3.0
LATE_END_S = 1.0  # a peak that goes on for longer is not about to end
# A pool is left out of the order after this many peaks of other pools that
# came when its own was due.
MAX_MISSES = 2


@dataclass(slots=True, kw_only=True)
class PeakHistory:
    """What was learned of the last peaks of a pool.

    :param began_at: local monotonic time at which its last peak was seen, or
        ``None`` if it is not known.
    :param began_ms: the same as wall time in milliseconds since 1970, or 0.
        Only the next leader uses it.
    :param is_exact: that time was measured. Otherwise it was converted from
        the wall clock, or a new leader saw the peak late.
    :param ended_at: local time at which the load of that peak has fallen,
        until the length is learned.
    :param length_s: mean length of its peaks, or 0.
    :param lag_s: mean time from the start of the peak before, in any pool, to
        the start of its own; ``None`` before the first.
    :param spread_s: mean deviation from ``lag_s``.
    :param misses: peaks of other pools since its own was due.
    """

    began_at: float | None = None
    began_ms: int = 0
    is_exact: bool = True
    ended_at: float | None = None
    length_s: float = 0.0
    lag_s: float | None = None
    spread_s: float = 0.0
    misses: int = 0

    def is_expected(self) -> bool:
        """Return whether the pool still takes its turn."""
        return self.misses < MAX_MISSES

    def may_go_on(self, now: float) -> bool:
        """Return whether its last peak may still go on."""
        if self.began_at is None:
            return False
        if self.ended_at is not None:
            return now - self.ended_at < MIN_PAUSE_S
        return now - self.began_at <= self.length_s

    def ends_within(self, seconds: float, now: float) -> bool:
        """Return whether its last peak ends soon, or has just ended."""
        if self.began_at is None or self.length_s < MIN_LENGTH_S:
            return False
        remaining_s = self.began_at + self.length_s - now
        return -LATE_END_S <= remaining_s <= seconds

    def record_start(
        self, previous_at: float | None, now: float, *, is_exact: bool = True
    ) -> None:
        """Learn from the start of a peak.

        :param previous_at: start of the peak before, in any pool, or ``None``
            if it is not exactly known.
        :param is_exact: the peak has certainly started now.
        """
        self.began_at = now
        self.is_exact = is_exact
        self.began_ms = 0
        self.ended_at = None
        self.misses = 0
        if previous_at is None or now - previous_at > MAX_LAG_S:
            return
        lag_s = max(now - previous_at, 0.0)
        if self.lag_s is None:
            self.lag_s = lag_s
        error_s = lag_s - self.lag_s
        self.lag_s += SAMPLE_WEIGHT * error_s
        self.spread_s += SAMPLE_WEIGHT * (abs(error_s) - self.spread_s)

    def learn_length(self, now: float) -> None:
        """Learn the length of a peak that has certainly ended."""
        if self.began_at is None or self.ended_at is None:
            return
        if now - self.ended_at < MIN_PAUSE_S:
            return
        length_s = self.ended_at - self.began_at
        self.ended_at = None
        if not self.is_exact:
            return
        if not self.length_s:
            self.length_s = length_s
        self.length_s += SAMPLE_WEIGHT * (length_s - self.length_s)

    def align_clocks(self, now: float, wall_ms: int) -> None:
        """Convert the start of the last peak between the clocks.

        The wall clocks of members may differ or jump, so a start in the
        future or long ago is dropped. A wrong one lasts until the next peak.
        """
        if self.began_at is not None:
            if not self.began_ms:
                age_ms = int((now - self.began_at) * 1000)
                self.began_ms = wall_ms - age_ms
            return
        age_s = (wall_ms - self.began_ms) / 1000
        if self.began_ms and 0 <= age_s <= MAX_LAG_S:
            self.began_at = now - age_s
            self.is_exact = False
