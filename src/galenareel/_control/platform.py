"""Interface of the platform that owns the workers."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

from galenareel._common.sentinels import Unreachable


class Platform(ABC):
    """Operations of the platform.

    Each is idempotent: a call that is repeated with the same arguments takes
    effect once. All return :class:`Unreachable` if the platform gave no
    usable answer. All but ``usage`` return otherwise whether the platform
    accepted the call.
    """

    @abstractmethod
    def reboot(self, instance: str, *, token: str) -> bool | Unreachable:
        """Reboot an instance, at most once for each token."""

    @abstractmethod
    def checkpoint(self, instance: str, *, token: str) -> bool | Unreachable:
        """Have the deferrable tasks on an instance checkpoint and yield."""

    @abstractmethod
    def throttle(self, instance: str, *, share: float) -> bool | Unreachable:
        """Limit deferrable tasks to a share of the CPU, from 0 to 1."""

    @abstractmethod
    def stop_task(self, instance: str, *, task: str) -> bool | Unreachable:
        """Stop a task; its lease ends with it."""

    @abstractmethod
    def usage(self, instance: str) -> dict[str, float] | Unreachable:
        """Return the latest usage by resource, which may be out of date."""


class NoPlatform(Platform):
    """Used when no platform URL is set; all calls are unreachable."""

    _NOT_CONFIGURED = Unreachable(
        reason='no_platform',
        detail='set --platform-url to the platform that owns the workers',
    )

    def reboot(self, instance: str, *, token: str) -> bool | Unreachable:
        return self._NOT_CONFIGURED

    def checkpoint(self, instance: str, *, token: str) -> bool | Unreachable:
        return self._NOT_CONFIGURED

    def throttle(self, instance: str, *, share: float) -> bool | Unreachable:
        return self._NOT_CONFIGURED

    def stop_task(self, instance: str, *, task: str) -> bool | Unreachable:
        return self._NOT_CONFIGURED

    def usage(self, instance: str) -> dict[str, float] | Unreachable:
        return self._NOT_CONFIGURED
