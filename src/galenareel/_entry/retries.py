"""Budget and pace of retries."""

from __future__ import annotations

from random import Random

RETRY_RATIO = 0.1  # retries per first try, per pool
INITIAL_RETRY_TOKENS = 1.0  # lets a pool with little traffic retry once
MAX_RETRY_TOKENS = 10.0
BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 0.5
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 30.0


class RetryBudget:
    """Token bucket filled by first tries.

    Over any period the retries are at most a tenth of the first tries plus
    the tokens saved before it, so a pool that fails everything gets at most
    1.1 times its load.
    """

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        self._tokens = INITIAL_RETRY_TOKENS

    def record_first_attempt(self) -> None:
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_RATIO)

    def try_spend(self) -> bool:
        """Use one retry; false if the budget is spent."""
        # The tolerance keeps ten additions of 0.1 worth one whole token.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


def compute_backoff_s(attempt: int, *, rng: Random) -> float:
    """Full jitter: uniform between zero and a doubling bound."""
    bound = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(attempt, 10))
    return rng.uniform(0.0, bound)


def compute_retry_after_s(mean_run_s: float, *, rng: Random) -> float:
    """Hint for a caller; spread out, so that callers don't return together."""
    base = max(RETRY_AFTER_MIN_S, 2 * mean_run_s)
    return round(min(RETRY_AFTER_MAX_S, base * (1 + rng.random())), 2)
