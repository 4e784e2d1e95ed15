"""Reboots drained instances through the platform.

The instances to reboot and their tokens are in the log. A new leader repeats
the request with the same token, for which the platform reboots at most once.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from gevent.pool import Pool

from galenareel._common.rows import InstanceRow
from galenareel._common.rows import WaveState
from galenareel._common.sentinels import Unreachable
from galenareel._control.platform import NoPlatform
from galenareel._control.platform import Platform
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import FailMaintenance
from galenareel._state.commands import FinishMaintenance
from galenareel._state.commands import SetWaveState
from galenareel._state.state import State
from galenareel._state.tables import DRAINING_STEP
from galenareel._state.tables import REBOOTING_STEP

# A process may restart by itself after its drain, before the platform accepts
# the reboot. If the incarnation has already changed at acceptance, the reboot
# counts as finished only after this time, in which the real one would show.
REBOOT_GRACE_S = 10.0

RETRY_INTERVAL_S = 2.0
MAX_CALLS = 8


@dataclass(slots=True)
class RebootCall:
    """State of this leader's reboot request for one token.

    :param is_running: whether the platform has not answered yet.
    :param incarnation: incarnation of the instance at the answer.
    :param answered_at: monotonic time of the first pass that saw the answer.
        Times count from here and not from the request, because a slow
        platform begins the reboot only when it answers.
    """

    is_running: bool = True
    accepted: bool = False
    refused: bool = False
    incarnation: str = ''
    answered_at: float | None = None


class Reboots:
    """Requests reboots and plans the commands that follow from them."""

    def __init__(self, state: State, platform: Platform) -> None:
        self._state = state
        self._platform = platform
        self._calls: dict[str, RebootCall] = {}
        self._checkpointed: set[str] = set()
        self._pool = Pool(MAX_CALLS)

    def clear(self) -> None:
        """Forget all requests, because this member no longer leads."""
        self._calls.clear()
        self._checkpointed.clear()

    def plan(self, zones: frozenset[str], now: float) -> Iterator[AnyCommand]:
        """Send the requests that are due and yield the resulting commands.

        :param zones: zones with a fresh session; only their instances are
            rebooted.
        :param now: monotonic time.
        """
        if isinstance(self._platform, NoPlatform):
            yield from self._plan_wave_stops()
            return
        self._forget_finished()
        for name in list(self._state.reboots):
            row = self._state.instances[name]
            if row.zone not in zones or row.zone in self._state.cut_zones:
                continue
            if row.maintenance_step == DRAINING_STEP:
                self._request_checkpoint(row)
            elif row.maintenance_step == REBOOTING_STEP:
                yield from self._plan_reboot(row, now)

    def _plan_wave_stops(self) -> Iterator[AnyCommand]:
        """Stop all waves, because no platform is set."""
        for wave in self._state.waves.values():
            if wave.state in (WaveState.RUNNING, WaveState.PAUSED):
                yield SetWaveState(
                    now=0.0,
                    wave=wave.wave,
                    previous=wave.state,
                    state=WaveState.STOPPED,
                    reason='no platform can reboot; set --platform-url',
                )

    def _forget_finished(self) -> None:
        tokens = {reboot.token for reboot in self._state.reboots.values()}
        for token in self._calls.keys() - tokens:
            del self._calls[token]
        self._checkpointed &= tokens

    def _request_checkpoint(self, row: InstanceRow) -> None:
        """Request a checkpoint of the deferrable tasks, once per token.

        The answer is not needed: the drain waits for all remaining work.
        """
        token = self._state.reboots[row.instance].token
        if token not in self._checkpointed and not self._pool.full():
            self._checkpointed.add(token)
            self._pool.spawn(
                self._platform.checkpoint, row.instance, token=token
            )

    def _plan_reboot(
        self, row: InstanceRow, now: float
    ) -> Iterator[AnyCommand]:
        reboot = self._state.reboots[row.instance]
        call = self._calls.get(reboot.token)
        if (
            call is not None
            and call.answered_at is None
            and not call.is_running
        ):
            call.answered_at = now
        if call is None or self._is_retry_due(call, now):
            if not self._pool.full():
                self._calls[reboot.token] = RebootCall()
                self._pool.spawn(
                    self._request_reboot, row.instance, reboot.token
                )
            return
        if call.answered_at is None:
            return
        if call.refused:
            yield FailMaintenance(
                now=0.0,
                instance=row.instance,
                epoch=row.epoch,
                wave=row.wave,
                reason='the platform refused to reboot it',
            )
        elif call.accepted and row.incarnation != reboot.incarnation:
            restarted_after_answer = row.incarnation != call.incarnation
            if (
                restarted_after_answer
                or now - call.answered_at >= REBOOT_GRACE_S
            ):
                yield FinishMaintenance(
                    now=0.0, instance=row.instance, epoch=row.epoch
                )

    def _is_retry_due(self, call: RebootCall, now: float) -> bool:
        is_pending_or_answered = (
            call.is_running or call.accepted or call.refused
        )
        waited = (
            call.answered_at is not None
            and now - call.answered_at >= RETRY_INTERVAL_S
        )
        return not is_pending_or_answered and waited

    def _request_reboot(self, instance: str, token: str) -> None:
        result = self._platform.reboot(instance, token=token)
        call = self._calls.get(token)
        row = self._state.instances.get(instance)
        if call is None or row is None:
            return
        call.is_running = False
        call.incarnation = row.incarnation
        if not isinstance(result, Unreachable):
            call.accepted = result
            call.refused = not result
