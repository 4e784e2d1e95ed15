"""Records of the orders for instances, for the next leader.

The platform takes no orders of two holders for an instance within the lease
of a holder. Leaders record orders before they send them, and afterwards which
of them were answered, so that the next leader waits only for those that may
still be under way.
"""

from __future__ import annotations

from collections.abc import Iterable

from galenareel._jobs.clients import Outcome
from galenareel._jobs.commands import RecordOrders
from galenareel._jobs.model import InstanceOrder

# An order that a previous leader recorded within this time counts as recent.
# It is long enough for wall clocks that differ.
RECENT_ORDER_S = 8.0
# Longer than the platform's lease of a holder, so that orders of the previous
# leader have been carried out or refused by then.
TAKE_OVER_WAIT_S = 3.2
# An answered order counts from the recorded time of its answer. The clock of
# the previous leader may have jumped by this much since then.
CLOCK_JUMP_S = 2.0
RECORD_SETTLED_EVERY_S = 0.5
# Outcomes after which an order is not sent again.
_SETTLING = (Outcome.DONE, Outcome.REFUSED, Outcome.WRONG_WAVE)


class OrderRecords:
    """Orders of one term of a leader.

    :param holder: name of this member.
    """

    def __init__(self, holder: str) -> None:
        self._holder = holder
        # By instance, when its last order was recorded, and the same of the
        # answered orders that are not recorded as such.
        self._recorded_ms: dict[str, int] = {}
        self._settled: dict[str, int] = {}
        self._settled_due = 0.0
        # Instances to which a call without an answer may still be under way.
        self._unsure: set[str] = set()

    def begin(self, instances: Iterable[str], now_ms: int) -> RecordOrders:
        """Return the command that records orders before they are sent.

        :param now_ms: wall time now.
        """
        names = tuple(instances)
        for name in names:
            self._recorded_ms[name] = now_ms
        return RecordOrders(
            holder=self._holder, instances=names, now_ms=now_ms
        )

    def get_recorded_ms(self, instance: str) -> int:
        """Return when the last order for an instance was recorded."""
        return self._recorded_ms[instance]

    def note_no_answer(self, instance: str) -> None:
        """Note that a call for an instance may be carried out late."""
        self._unsure.add(instance)

    def note_answer(
        self, instance: str, recorded_ms: int, outcome: Outcome
    ) -> None:
        """Note the answer to the order that was recorded at a time."""
        if outcome in _SETTLING and instance not in self._unsure:
            self._settled[instance] = recorded_ms

    def take_settled(self, now: float, wall_ms: int) -> RecordOrders | None:
        """Return the command that records the answered orders, if it is due.

        :param now: monotonic time in seconds.
        """
        if not self._settled or now < self._settled_due:
            return None
        self._settled_due = now + RECORD_SETTLED_EVERY_S
        settled, self._settled = self._settled, {}
        return RecordOrders(
            holder=self._holder, instances=(), now_ms=wall_ms, settled=settled
        )


def is_recent(order: InstanceOrder, latest_ms: float) -> bool:
    """Return whether an order of a previous leader may still have effects.

    :param latest_ms: wall time of this member, or the last one that previous
        leaders recorded if that is earlier. Their clocks may differ, but the
        order is at least as old as the second one tells.
    """
    return latest_ms - order.at_ms < RECENT_ORDER_S * 1000


def compute_order_wait_s(order: InstanceOrder, latest_ms: float) -> float:
    """Return how long a new leader waits before it orders an instance.

    :param latest_ms: see :func:`is_recent`.
    :returns: seconds since the start of its term.
    """
    if not is_recent(order, latest_ms):
        return 0.0
    if not order.settled_ms:
        # It may have been repeated until the previous leader's lease was over.
        return TAKE_OVER_WAIT_S
    age_s = (latest_ms - order.settled_ms) / 1000
    wait_s = TAKE_OVER_WAIT_S + CLOCK_JUMP_S - age_s
    return min(max(wait_s, 0.0), TAKE_OVER_WAIT_S)
