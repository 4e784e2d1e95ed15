"""Maintenance of drained instances through the platform.

Which instance is rebooted, and under which token, is in the log. A new leader
asks the platform again with the same token, which reboots at most once.
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
from galenareel._state.tables import DRAINING
from galenareel._state.tables import REBOOTING

# A process may have restarted by itself between its drain and the platform's
# acceptance. A new incarnation that was there at acceptance counts as
# rebooted only after this time, in which a real reboot would show.
SETTLE_S = 10.0

RETRY_S = 2.0
CALLS = 8


@dataclass(slots=True)
class Call:
    """What this leader knows of one token at the platform.

    :param incarnation: of the instance when the platform answered.
    :param at: pass of the leader that first saw the answer; a platform may
        take long to answer, and a reboot begins only then.
    """

    running: bool = True
    accepted: bool = False
    refused: bool = False
    incarnation: str = ''
    at: float | None = None


class Reboots:
    """Asks the platform and sees when an instance has come back."""

    def __init__(self, state: State, platform: Platform) -> None:
        self._state = state
        self._platform = platform
        self._calls: dict[str, Call] = {}
        self._saved: set[str] = set()
        self._pool = Pool(CALLS)

    def clear(self) -> None:
        """This member no longer leads."""
        self._calls.clear()
        self._saved.clear()

    def plan(self, zones: frozenset[str], now: float) -> Iterator[AnyCommand]:
        """Ask for what is due and return the commands that follow.

        :param zones: zones with a fresh session; no other is touched.
        """
        if isinstance(self._platform, NoPlatform):
            yield from self._stop_waves()
            return
        self._forget_finished()
        for name in list(self._state.reboots):
            row = self._state.instances[name]
            if row.zone not in zones or row.zone in self._state.cut_zones:
                continue
            if row.maintenance_step == DRAINING:
                self._save_work(row)
            elif row.maintenance_step == REBOOTING:
                yield from self._reboot(row, now)

    def _stop_waves(self) -> Iterator[AnyCommand]:
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
        tokens = {one.token for one in self._state.reboots.values()}
        for token in self._calls.keys() - tokens:
            del self._calls[token]
        self._saved &= tokens

    def _save_work(self, row: InstanceRow) -> None:
        """Ask once for a checkpoint; the drain waits for the rest."""
        token = self._state.reboots[row.instance].token
        if token not in self._saved and not self._pool.full():
            self._saved.add(token)
            self._pool.spawn(
                self._platform.checkpoint, row.instance, token=token
            )

    def _reboot(self, row: InstanceRow, now: float) -> Iterator[AnyCommand]:
        reboot = self._state.reboots[row.instance]
        call = self._calls.get(reboot.token)
        if call is not None and call.at is None and not call.running:
            call.at = now
        if call is None or self._is_due(call, now):
            if not self._pool.full():
                self._calls[reboot.token] = Call()
                self._pool.spawn(self._ask, row.instance, reboot.token)
            return
        if call.at is None:
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
            shown_since = row.incarnation != call.incarnation
            if shown_since or now - call.at >= SETTLE_S:
                yield FinishMaintenance(
                    now=0.0, instance=row.instance, epoch=row.epoch
                )

    def _is_due(self, call: Call, now: float) -> bool:
        pending = call.running or call.accepted or call.refused
        waited = call.at is not None and now - call.at >= RETRY_S
        return not pending and waited

    def _ask(self, instance: str, token: str) -> None:
        result = self._platform.reboot(instance, token=token)
        call = self._calls.get(token)
        row = self._state.instances.get(instance)
        if call is None or row is None:
            return
        call.running = False
        call.incarnation = row.incarnation
        if not isinstance(result, Unreachable):
            call.accepted = result
            call.refused = not result
