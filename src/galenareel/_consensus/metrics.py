"""Metric instruments of a member of the replicated log."""

from __future__ import annotations

from opentelemetry.metrics import Meter


class MemberMetrics:
    """Counters of elections and of links to other members."""

    def __init__(self, meter: Meter) -> None:
        self.campaigns = meter.create_counter(
            'galenareel_campaigns',
            description='Elections that this member has started.',
        )
        self.leader_changes = meter.create_counter(
            'galenareel_leader_changes',
            description='Changes of the leader, by whether one is known.',
        )
        self.peer_connects = meter.create_counter(
            'galenareel_peer_connects',
            description='Attempts to connect to a member, by outcome.',
        )
