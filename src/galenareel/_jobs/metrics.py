"""Metric instruments of the jobs subsystem."""

from __future__ import annotations

from opentelemetry.metrics import Meter

# Workspaces with a label of their own. Three values for each of them, and for
# the others together, stay below the series that an instrument may have.
MAX_WORKSPACE_LABELS = 64
OTHER_WORKSPACES = 'other'


class JobMetrics:
    """Counters and histograms of the leader and the gateways."""

    def __init__(self, meter: Meter) -> None:
        self.calls = meter.create_counter(
            'galenareel_calls',
            description='Requests of callers by operation and outcome.',
        )
        self.http_refusals = meter.create_counter(
            'galenareel_http_refusals',
            description='Requests and connections refused, by reason.',
        )
        self.key_refusals = meter.create_counter(
            'galenareel_key_refusals',
            description='Refusals of keys by the process that refused.',
        )
        self.call_s = meter.create_histogram(
            'galenareel_call_seconds',
            description='Time from a request of a caller to its answer.',
        )
        self.orders = meter.create_counter(
            'galenareel_orders',
            description='Orders to workers by kind and outcome.',
        )
        self.order_s = meter.create_histogram(
            'galenareel_order_seconds',
            description='Time from an order to its answer.',
        )
        self.wait_s = meter.create_histogram(
            'galenareel_start_wait_seconds',
            description='Time from a task becoming ready to its start order.',
        )
        self.away_s = meter.create_histogram(
            'galenareel_task_away_seconds',
            description='Time from the end of a run to the next start order.',
        )
        self.ends = meter.create_counter(
            'galenareel_task_ends',
            description='Ended runs by kind of end.',
        )
        self.store_s = meter.create_histogram(
            'galenareel_store_seconds',
            description='Time to store a batch of ended runs.',
        )
        self.polls = meter.create_counter(
            'galenareel_looks',
            description='Polls of workers by outcome.',
        )
        self.unexpected_runs = meter.create_counter(
            'galenareel_unexpected_runs',
            description='Listed runs that the leader did not know.',
        )
        self.worker_crashes = meter.create_counter(
            'galenareel_worker_crashes',
            description='Workers whose end nothing planned explains.',
        )
        self.suspects = meter.create_counter(
            'galenareel_suspects',
            description='Tasks that were implicated in a crash of a worker.',
        )
        self.jobs_given_up = meter.create_counter(
            'galenareel_jobs_given_up',
            description='Jobs that failed as a task crashed its workers.',
        )
        self.table_findings = meter.create_counter(
            'galenareel_table_findings',
            description='Disagreements between the tables, by kind.',
        )
        self.holds = meter.create_counter(
            'galenareel_holds',
            description='Times that tasks began to be held back, by reason.',
        )
        self.waived_cautions = meter.create_counter(
            'galenareel_waived_cautions',
            description='Times that tasks of a quiet pool passed cautions.',
        )
        self.overfull_workers = meter.create_counter(
            'galenareel_overfull_workers',
            description='Times that the runs of a worker exceeded its room.',
        )
        self.capacity_changes = meter.create_counter(
            'galenareel_capacity_changes',
            description='Times that a worker reported another capacity.',
        )
        self.loop_held_s = meter.create_histogram(
            'galenareel_loop_held_seconds',
            description='Times for which a part held the event loop.',
        )
        self.advice_calls = meter.create_counter(
            'galenareel_advice_calls',
            description='Calls to the advisor by outcome.',
        )
        self.advice_call_s = meter.create_histogram(
            'galenareel_advice_call_seconds',
            description='Time from a call to the advisor to its end.',
        )
        self.advice_waiting = meter.create_gauge(
            'galenareel_advice_waiting',
            description='Steps that wait for their turn to ask the advisor.',
        )
        self.advice_wait_s = meter.create_gauge(
            'galenareel_advice_wait_seconds',
            description='Longest time for which one of these has waited.',
        )
        self.workspace_running = meter.create_gauge(
            'galenareel_workspace_running',
            description='What may be running, by workspace and resource.',
        )
        self.workspace_limit = meter.create_gauge(
            'galenareel_workspace_limit',
            description='Limit by workspace and resource; 0 is no limit.',
        )
        self.workspace_share = meter.create_gauge(
            'galenareel_workspace_share',
            description='Largest share of the open capacity by workspace.',
        )
        self.workspace_waiting = meter.create_gauge(
            'galenareel_workspace_waiting',
            description='Tasks that wait to be placed, by workspace.',
        )
        self.workspace_refusals = meter.create_counter(
            'galenareel_workspace_refusals',
            description='Refused jobs by workspace and reason.',
        )
        self.copies = meter.create_counter(
            'galenareel_copies',
            description='Copies of slow tasks, and what became of them.',
        )
        self.reservations = meter.create_counter(
            'galenareel_reservations',
            description='Reservations for large tasks by how they ended.',
        )
        self._workspace_labels: set[str] = set()

    def count_http_refusal(self, reason: str) -> None:
        """Count a request or a connection that a limit has refused."""
        self.http_refusals.add(1, {'reason': reason})

    def label_workspace(self, name: str) -> str:
        """Return the label of a workspace, ``other`` beyond the limit."""
        if name not in self._workspace_labels:
            if len(self._workspace_labels) >= MAX_WORKSPACE_LABELS:
                return OTHER_WORKSPACES
            self._workspace_labels.add(name)
        return name

    def list_workspace_labels(self) -> tuple[str, ...]:
        """Return all labels that were given."""
        return (*sorted(self._workspace_labels), OTHER_WORKSPACES)
