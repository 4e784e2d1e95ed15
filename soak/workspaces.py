"""Workspaces in the soak: their keys and limits, which change over time."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from random import Random

KEY_CHANGE_SHARE = 0.5
LIMIT_CHANGE_SHARE = 0.3
# The limit of the first workspace is one of these; the others keep theirs, so
# that these are checked exactly even during faults.
CHANGING_CPU_LIMITS = (2000, 5000)
UNKNOWN_KEY = 'key-that-no-configuration-holds'


@dataclass(frozen=True, slots=True)
class SoakWorkspace:
    """A workspace of one configuration.

    :param keys: a key that stays, then one that is replaced at times.
    :param weight: its share of scarce capacity, in jobs per second.
    :param cpu: limit in thousandths of a core; 0 is no limit.
    :param memory_mb: limit of memory; 0 is no limit.
    """

    name: str
    keys: tuple[str, ...]
    weight: float
    cpu: int
    memory_mb: int = 0


class KeyRing:
    """The workspaces of the latest configuration and the withdrawn keys."""

    def __init__(self) -> None:
        self.workspaces: tuple[SoakWorkspace, ...] = (
            SoakWorkspace('a', ('key-a', 'key-a-0'), 1.0, 2000),
            SoakWorkspace('b', ('key-b', 'key-b-0'), 3.0, 3000, 2000),
            SoakWorkspace('c', ('key-c', 'key-c-0'), 0.5, 0),
        )
        # Each withdrawn key with the name of its workspace.
        self.withdrawn: list[tuple[str, str]] = []
        self._key_count = 0

    def draw_change(self, rng: Random) -> None:
        """Draw how the workspaces of the next configuration differ."""
        workspaces = list(self.workspaces)
        if rng.random() < KEY_CHANGE_SHARE:
            index = rng.randrange(len(workspaces))
            workspace = workspaces[index]
            stays, replaced = workspace.keys
            self.withdrawn.append((replaced, workspace.name))
            self._key_count += 1
            keys = (stays, f'{stays}-{self._key_count}')
            workspaces[index] = replace(workspace, keys=keys)
        if rng.random() < LIMIT_CHANGE_SHARE:
            cpu = rng.choice(CHANGING_CPU_LIMITS)
            workspaces[0] = replace(workspaces[0], cpu=cpu)
        self.workspaces = tuple(workspaces)

    def draw_key(self, rng: Random, name: str) -> str:
        """Draw a key of a workspace."""
        for workspace in self.workspaces:
            if workspace.name == name:
                return rng.choice(workspace.keys)
        raise ValueError(f'there is no workspace {name!r}')

    def list_bad_keys(self) -> list[tuple[str, str]]:
        """Return unknown, missing and withdrawn keys with their workspace."""
        return [(UNKNOWN_KEY, 'none'), ('', 'none'), *self.withdrawn]
