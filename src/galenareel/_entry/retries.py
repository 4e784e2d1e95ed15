"""Limit the number of retries and compute the delays before them."""

from __future__ import annotations

from random import Random

# Retries allowed per first attempt, for each pool.
RETRY_RATIO = 0.1
# Lets a pool with little traffic retry once.
INITIAL_RETRY_TOKENS = 1.0
MAX_RETRY_TOKENS = 10.0
BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 0.5
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 30.0


class RetryBudget:
    """Token bucket for retries, refilled by first attempts.

    In any period there are at most a tenth as many retries as first attempts,
    plus the tokens left from before, so a pool in which every request fails
    gets at most 1.1 times its load.
    """

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        self._tokens = INITIAL_RETRY_TOKENS

    def record_first_attempt(self) -> None:
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_RATIO)

    def try_spend(self) -> bool:
        """Spend the token for one retry; return false if there is none."""
        # Ten additions of 0.1 give slightly less than 1.0 in floating point.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


def compute_backoff_s(attempt: int, *, rng: Random) -> float:
    """Return the delay before a retry, in seconds, with full jitter.

    The delay is uniform between zero and a bound that doubles with each
    attempt up to BACKOFF_MAX_S.
    """
    bound_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(attempt, 10))
    return rng.uniform(0.0, bound_s)


def compute_retry_after_s(mean_run_s: float, *, rng: Random) -> float:
    """Return after how many seconds a refused caller should retry.

    The value is randomized so that callers don't retry all at once.
    """
    base_s = max(RETRY_AFTER_MIN_S, 2 * mean_run_s)
    return round(min(RETRY_AFTER_MAX_S, base_s * (1 + rng.random())), 2)
