"""Decide which jobs are refused where workspaces share the pools.

Load pattern: one workspace sends many times its usual load while the others
go on as usual. Its own backlog and share decide on its jobs; its excess does
not count against the jobs of others.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import math
import zlib

from galenareel._jobs.model import Resources
from galenareel._scheduling.admission import LIMIT_MARGIN_FACTOR
from galenareel._scheduling.admission import MAX_RETRY_S
from galenareel._scheduling.admission import MIN_RETRY_S
from galenareel._scheduling.admission import Refusal
from galenareel._scheduling.quotas import Usage
from galenareel._scheduling.ranking import classify_timeliness
from galenareel._scheduling.ranking import LATE
from galenareel._scheduling.ranking import LATE_LIMIT_FACTOR
from galenareel._scheduling.shares import compute_shares
from galenareel._scheduling.tables import JobWork

TOO_LATE = 'the job would finish too late to be useful'
BEYOND_SHARE = 'the workspace is beyond its share of a full pool'
LIMIT_FILLED = 'the jobs of the workspace fill its limit'
MIN_RATE_SHARE = 0.01  # keeps expected waits finite


@dataclass(frozen=True, slots=True, kw_only=True)
class Standing:
    """Standing of a job's workspace when the job is submitted.

    :param is_beyond: its runs take up its share of the pool.
    :param weights: weights of all workspaces.
    :param cores: processor cores of the pool's workers, or 0 if none is
        known.
    :param spare_cores: cores that the others leave now, at least its share;
        0 if it is not known. Jobs that the others submit later go before a
        job beyond the share, so it gets no more than these.
    :param idle_cores: cores that nothing uses now.
    :param limit_cores: cores that its limit lets it use in all pools, or
        ``None`` without a limit.
    """

    is_beyond: bool
    weights: Mapping[str, float]
    cores: float
    spare_cores: float = 0.0
    idle_cores: float = 0.0
    limit_cores: float | None = None


def compute_limit_cores(limit: Resources, usage: Usage) -> float | None:
    """Return how many cores a workspace can use within its limit.

    Limits of memory and accelerators are converted by what its runs use of
    them for each core.

    :returns: ``None`` if nothing limits it.
    """
    cores = [limit.cpu / 1000] if limit.cpu else []
    for bound, used in (
        (limit.memory_mb, usage.memory_mb),
        (limit.gpus, usage.gpus),
    ):
        if bound and used and usage.cpu:
            cores.append(usage.cpu / 1000 * bound / used)
    return min(cores, default=None)


def check_workspace_job(
    job: JobWork, others: Iterable[JobWork], standing: Standing, now: float
) -> Refusal | None:
    """Return why a job is refused now, or ``None`` if it is accepted.

    A job beyond the share or the rate is refused as soon as it is expected to
    be worthless, without the margin that the others have.

    :param others: accepted jobs of all pools.
    """
    if job.lasting:
        return None
    own_everywhere_core_s = 0.0
    ahead: dict[str, float] = {job.workspace: 0.0}
    for other in others:
        is_own = other.workspace == job.workspace
        is_here = other.queue.pool == job.queue.pool
        if not is_here and not (is_own and job.workspace):
            continue
        if not _goes_before(other, job, standing, now):
            continue
        if is_own:
            own_everywhere_core_s += other.remaining_core_s
        if is_here:
            ahead[other.workspace] = (
                ahead.get(other.workspace, 0.0) + other.remaining_core_s
            )
    is_beyond = job.beyond_rate or standing.is_beyond
    margin = 1.0 if is_beyond else LIMIT_MARGIN_FACTOR
    longest_s = job.objective_s * LATE_LIMIT_FACTOR * margin
    if standing.limit_cores is not None and job.workspace:
        wait_s = own_everywhere_core_s / max(standing.limit_cores, 0.001)
        if wait_s + job.critical_path_s > longest_s:
            return _refuse(job, LIMIT_FILLED, wait_s)
    if standing.cores <= 0:
        return None
    wait_s = estimate_wait_s(job.workspace, ahead, standing)
    if is_beyond and standing.spare_cores > 0:
        rate = _estimate_rate(job, standing)
        wait_s = max(wait_s, ahead[job.workspace] / rate)
    if wait_s + job.critical_path_s <= longest_s:
        return None
    return _refuse(job, BEYOND_SHARE if is_beyond else TOO_LATE, wait_s)


def _estimate_rate(job: JobWork, standing: Standing) -> float:
    """Return the cores that serve a job beyond the share or the rate.

    Jobs that its workspace submits later within the rate go before a job
    beyond the rate.
    """
    cores = standing.spare_cores
    if job.beyond_rate:
        weight = standing.weights.get(job.workspace, 0.0)
        cores = max(cores - weight * job.work_core_s, standing.idle_cores)
    return max(cores, MIN_RATE_SHARE * standing.cores)


def _goes_before(
    other: JobWork, job: JobWork, standing: Standing, now: float
) -> bool:
    """Return whether an accepted job is placed before a submitted one."""
    if other.lasting:
        return False
    is_own = other.workspace == job.workspace
    if standing.is_beyond and is_own and other.started:
        is_first = True  # its runs take up the share
    elif other.beyond_rate != job.beyond_rate:
        is_first = job.beyond_rate
    elif standing.is_beyond and not is_own and not job.beyond_rate:
        is_first = True  # as far as it is within the other's share
    else:
        is_first = other.remaining_core_s <= job.work_core_s
    return is_first and classify_timeliness(other, now) <= LATE


def estimate_wait_s(
    workspace: str, ahead: Mapping[str, float], standing: Standing
) -> float:
    """Return the time until the work ahead of a new job is done.

    Meanwhile each other workspace gets no more of the pool than its share;
    what it does not need serves the rest. Jobs without a workspace are served
    in full, and for such a job so is everything ahead.

    :param ahead: work ahead by workspace, in core seconds.
    """
    if not workspace:
        return sum(ahead.values()) / standing.cores
    work_core_s = ahead.get(workspace, 0.0) + ahead.get('', 0.0)
    shares = compute_shares([n for n in ahead if n], standing.weights)
    rate = standing.cores * shares.pop(workspace)
    # Workspaces whose work ahead is done early leave their share to the rest.
    others = sorted(
        (
            ahead[name] / (share * standing.cores) if share else math.inf,
            name,
            share,
        )
        for name, share in shares.items()
    )
    for done_s, name, share in others:
        if rate > 0 and work_core_s / rate <= done_s:
            break
        work_core_s += ahead[name]
        rate += share * standing.cores
    return work_core_s / rate if rate > 0 else 0.0


def _refuse(job: JobWork, reason: str, wait_s: float) -> Refusal:
    """Refuse a job, with a retry delay that spreads the callers' retries."""
    factor = 1 + zlib.crc32(job.name.encode()) / 2**32
    return Refusal(
        reason=reason,
        wait_s=wait_s,
        retry_after_s=min(max(wait_s * factor, MIN_RETRY_S), MAX_RETRY_S),
    )
