"""The platform that owns the workers, as an interface."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

from galenareel._common.sentinels import Unreachable


class Platform(ABC):
    """Operations of the platform; each is idempotent by its arguments."""

    @abstractmethod
    def reboot(self, instance: str, *, token: str) -> bool | Unreachable:
        """Reboot once per token; true if accepted."""

    @abstractmethod
    def checkpoint(self, instance: str, *, token: str) -> bool | Unreachable:
        """Ask the deferrable tasks on an instance to save and yield."""

    @abstractmethod
    def throttle(self, instance: str, *, share: float) -> bool | Unreachable:
        """Limit deferrable tasks to a share of the processor, 0 to 1."""

    @abstractmethod
    def stop_task(self, instance: str, *, task: str) -> bool | Unreachable:
        """Stop one task; its lease ends."""

    @abstractmethod
    def usage(self, instance: str) -> dict[str, float] | Unreachable:
        """Latest usage by resource; lags behind the truth."""


class NoPlatform(Platform):
    """Stands where no platform URL is set; nothing can be rebooted."""

    _ABSENT = Unreachable(
        reason='no_platform',
        detail='set --platform-url to the platform that owns the workers',
    )

    def reboot(self, instance: str, *, token: str) -> bool | Unreachable:
        return self._ABSENT

    def checkpoint(self, instance: str, *, token: str) -> bool | Unreachable:
        return self._ABSENT

    def throttle(self, instance: str, *, share: float) -> bool | Unreachable:
        return self._ABSENT

    def stop_task(self, instance: str, *, task: str) -> bool | Unreachable:
        return self._ABSENT

    def usage(self, instance: str) -> dict[str, float] | Unreachable:
        return self._ABSENT
