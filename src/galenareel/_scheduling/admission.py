"""Whether a job is accepted, or refused at once with a time to return."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Queue

if TYPE_CHECKING:
    from galenareel._jobs.engine import Engine


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """:param wait_s: expected wait of the job in the queue."""

    why: str
    wait_s: float
    retry_after_s: float


def refuse_job(
    engine: Engine, queue: Queue, req: JobRequest, now: float
) -> Refusal | None:
    """Why a job is not accepted now, or none."""
    return None
