"""Maintenance waves and moves of instances between pools."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._jobs.clients import FleetClient
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.engine import Engine
from galenareel._jobs.state import JobState


class Fleet:
    """Orders for instances, while this member leads."""

    def __init__(
        self,
        *,
        engine: Engine,
        state: JobState,
        client: FleetClient,
        propose: Callable[[AnyCommand], Any],
        may_order: Callable[[], bool],
        holder: str,
        clock: Clock,
        log: Log,
    ) -> None:
        self._engine = engine
        self._state = state
        self._client = client
        self._propose = propose
        self._may_order = may_order
        self._holder = holder
        self._clock = clock
        self._log = log
        self._job: gevent.Greenlet | None = None

    def start(self) -> None:
        """Nothing yet."""

    def close(self) -> None:
        if self._job is not None:
            self._job.kill(block=False)
