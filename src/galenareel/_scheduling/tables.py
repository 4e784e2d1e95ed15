"""Tables of the leader for one epoch: workers, runs and waiting tasks.

They are not replicated. A new leader builds them from the replicated state
and from the lists of runs that it reads from the workers.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import enum

from galenareel._jobs.model import Queue
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WorkerRecord
from galenareel._scheduling.list_gaps import ListGaps
from galenareel._scheduling.peaks import PeakHistory

FULL_PACE_PERCENT = 100
MIN_ARRIVAL_WINDOW_S = 0.6  # shortest time over which a job's work is spread
ARRIVALS_S = 6.0  # time for which accepted jobs are kept for the forecast
MAX_ARRIVALS = 2000
PEAK_HALF_LIFE_S = 40.0  # time after which a past peak counts half
# A single crash is mostly a fault of the worker. Two within this time may be
# those of a task.
REPEATED_CRASH_S = 10.0
SLACK_WEIGHT = 0.1  # weight of a new job in the moving mean of the slack


RunKey = tuple[TaskId, int]  # task and number of a run


class RunState(enum.Enum):
    """State of a run on its worker, as far as the leader knows."""

    ORDERED = 'ordered'  # the start has not been answered yet
    UNSURE = 'unsure'  # the start got no answer; the worker may still do it
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a task on a worker.

    Times that end in ``_at`` are local and monotonic, in seconds.

    :param number: increases with each run of the task.
    :param token: fencing token of the worker's incarnation that was given it.
    :param rack: rack of the worker when it was given the run; its next
        incarnation may be in another one.
    :param zone: availability zone of the worker, likewise.
    :param step: step of the task, or ``None`` once its job is over.
    :param until_ms: time on the worker's clock until which it may carry out
        any try of the start.
    :param start_asked_at: when its start was last ordered or sent.
    :param first_sent_at: when its start was first sent, or ``None``.
    :param may_have_started: a try of the start got no answer, so what the
        worker answers to another try proves nothing.
    :param confirmed_at: when the worker was first known to run it.
    :param proven: its worker has borne its start, as ``is_proven`` tells.
    :param counted_for: job that was unproven when the run was added; ``None``
        once either of them is proven.
    :param on_trial: it was started on trial, as its task is a suspect.
    :param stop_reason: reason of the stop that is ordered, or empty.
    :param stop_asked_at: when a stop was last ordered, or ``None`` if none is.
    :param stop_sent_at: when a stop was last sent; it stays if the stop is
        withdrawn, which its worker may not know.
    :param stop_answered_at: when the worker has confirmed a stop.
    :param missing_since: when the first of the last lists that lack it was
        asked for, while it is being stopped.
    :param percent: progress; for a lasting task the share of its work that
        it does.
    :param percent_at: when ``percent`` was last reported.
    :param silent_s: how long its worker was silent since ``confirmed_at``. It
        may have been paused, so that time says nothing of the run's speed.
    :param answered_at: when the incarnation that ran it last answered, once a
        later one is known, or ``None``.
    :param checkpoint: last checkpoint from which the task can continue, or
        empty.
    :param reading: tail latency in ms of a serving task, processor use of
        any other; ``None`` before the first report.
    :param pace: speed last ordered, in percent of the full speed.
    :param cpu: processor reserved on the worker, in thousandths of a core.
    :param workspace: owner of its job, or empty.
    :param is_unsized: its job is not known, so it may use all that its worker
        has, also after that grows.
    """

    task: TaskId
    number: int
    worker: Worker
    step: StepWork | None
    ordered_at: float
    token: int = 0
    rack: str = ''
    zone: str = ''
    until_ms: int = 0
    state: RunState = RunState.ORDERED
    start_asked_at: float = 0.0
    first_sent_at: float | None = None
    may_have_started: bool = False
    confirmed_at: float | None = None
    proven: bool = False
    counted_for: JobWork | None = None
    on_trial: bool = False
    stop_reason: str = ''
    stop_asked_at: float | None = None
    stop_sent_at: float | None = None
    stop_answered_at: float | None = None
    missing_since: float | None = None
    percent: int = 0
    percent_at: float = 0.0
    silent_s: float = 0.0
    answered_at: float | None = None
    checkpoint: str = ''
    reading: float | None = None
    pace: int = FULL_PACE_PERCENT
    pace_set_at: float = 0.0
    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    workspace: str = ''
    is_unsized: bool = False

    @property
    def key(self) -> RunKey:
        return self.task, self.number


@dataclass(slots=True, kw_only=True)
class Health:
    """Recent results of the runs on one worker.

    :param recent_ends: ended runs, each decaying with time.
    :param recent_failures: failed runs among them, decaying likewise.
    :param consecutive_failures: failures since the last run that was done.
    :param slowness: moving mean of run time over expected run time.
    :param suspect_until: local time until which it gets no tasks.
    :param decayed_at: local time of the last decay, or 0 before the first.
    """

    recent_ends: float = 0.0
    recent_failures: float = 0.0
    consecutive_failures: int = 0
    slowness: float = 1.0
    suspect_until: float = 0.0
    decayed_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Loss:
    """What is lost with a worker that does not answer, if it has ended.

    :param heard_at: local time of its last answer.
    :param failed_at: local time of the first failed call after that.
    :param runs: number of its runs.
    :param implicated: tasks that may have crashed it, and whether each was on
        trial there; a gang by its task of index 0.
    :param victims: those among them whose start it had borne.
    """

    worker: str
    rack: str
    heard_at: float
    failed_at: float
    runs: int
    implicated: dict[TaskId, bool]
    victims: frozenset[TaskId] = frozenset()


@dataclass(slots=True, kw_only=True)
class TrialHold:
    """A worker is kept free until the trial of a suspect can begin on it.

    :param index: index of the task; 0 for a whole gang.
    :param until: local time at which the worker is released at the latest.
    """

    step: StepWork
    index: int
    until: float


@dataclass(slots=True, kw_only=True)
class TrialWait:
    """How long the suspects of a step have waited for a trial.

    :param since: local time since which none of them was started.
    :param none_free_since: local time since which no worker without lasting
        tasks and gangs had room for them, or ``None`` if one has.
    :param reported_at: local time at which it was last logged.
    """

    since: float
    none_free_since: float | None = None
    reported_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class Worker:
    """A worker and its runs.

    :param token: fencing token of all calls to this incarnation, or 0 while
        it has none. No call is sent to it then.
    :param has_former_life: calls to an earlier incarnation of its name may
        have reached it.
    :param has_listed: this leader has read its list of runs in this epoch.
    :param lease_expired: its lease expired while it was silent.
    :param answer_due: local time by which the oldest unanswered poll should
        be answered, if ``awaits_answer`` is set.
    :param clock_ms: the worker's clock at local time ``clock_at``, or 0 if it
        is not known.
    :param first_clock_ms: the worker's clock when this leader first heard it
        in this epoch, or 0.
    :param follows_reports: this leader has had a report of the worker that is
        later than all that earlier leaders had.
    :param lease_until_ms: time on the worker's clock up to which its lease
        was extended.
    :param lease_expires_at: local time at which all leases granted to it have
        expired, even if its clock is slow.
    :param processed_position: position of the last end that was handled.
    :param stored_position: position of the last end that is replicated, which
        the worker may forget.
    :param gaps: rows of its lists that could not be read. While there are
        any, it gets no tasks, as they may be runs that use its room.
    :param runs: all runs that it may have or may still start, also several
        of one task.
    :param cpu_used: processor reserved by its runs, in thousandths of a core.
    :param unsized_runs: runs whose needs are not known; nothing is started
        beside them.
    :param instance: name of its instance, or empty if it is not known.
    :param leaves_at: local time before which a draining worker does not leave,
        or ``None`` if it is not known.
    :param cold_until: local time until which it is slow after its start.
    :param closed_since: local time since which ``may_open`` was seen to be
        false, or ``None``.
    :param closing_for: ``wave`` or ``move`` while it gets no new tasks for
        one of these, or empty.
    :param overfull: its last list took more than its room.
    :param report_from_ms: time on its clock from which it has to send a report
        before it gets tasks, or ``None``. While it was silent, its capacity
        may have shrunk.
    :param awaits_record: a list has shown a later incarnation than its record
        is of, or the stored capacity can't be true, so that its capacity and
        labels are not known.
    :param departing: it has announced its end, so its lease is not extended.
        It may go on for a while, and it is removed once its runs are over.
    :param retiring: its removal from the replicated state was proposed. The
        commit releases its runs, so until then it gets no tasks and no lease.
    :param silence_recorded: what runs on it was recorded as it was silent, so
        it gets no tasks until the end of that is recorded.
    :param lease_recorded: its lease was recorded as it was silent, so it is
        not extended until the end of that is recorded.
    :param unreachable_since: when a call to it first failed since its last
        answer, or ``None``. It may have crashed, so it gets no tasks.
    :param may_have_restarted: a connection to it ended since its last answer,
        or was refused.
    :param loss_noted: what it may have crashed with is recorded since then.
    :param trial: run of a suspect that is on trial here; nothing else is
        started meanwhile.
    :param loss: what was lost when its lease expired, or what the previous
        leader recorded, until it answers.
    :param has_ended: its incarnation has certainly ended.
    :param ordered_end_until: local time until which an order for its instance
        explains its end.
    :param trial_hold: suspect for which it is kept free, or ``None``.
    :param unproven: number of its runs that are counted as unproven.
    :param unproven_at: local time at which the last of these was added.
    :param no_unproven_until: local time until which it gets no more of these,
        so that it can be left to proven jobs instead of another one.
    """

    record: WorkerRecord
    token: int = 0
    has_former_life: bool = False
    has_listed: bool = False
    lease_expired: bool = False
    heard_at: float = 0.0
    answer_due: float = 0.0
    awaits_answer: bool = False
    silent_since: float | None = None
    clock_ms: int = 0
    clock_at: float = 0.0
    first_clock_ms: int = 0
    follows_reports: bool = False
    lease_until_ms: int = 0
    lease_expires_at: float = 0.0
    processed_position: int = 0
    stored_position: int = 0
    gaps: ListGaps = field(default_factory=ListGaps)
    runs: dict[RunKey, Run] = field(default_factory=dict)
    cpu_used: int = 0
    memory_used: int = 0
    gpus_used: int = 0
    unsized_runs: int = 0
    instance: str = ''
    draining: bool = False
    leaves_at: float | None = None
    cold_until: float = 0.0
    closed_since: float | None = None
    admitted_at: float = 0.0
    closing_for: str = ''
    overfull: bool = False
    awaits_record: bool = False
    report_from_ms: int | None = None
    departing: bool = False
    retiring: bool = False
    silence_recorded: bool = False
    lease_recorded: bool = False
    unreachable_since: float | None = None
    may_have_restarted: bool = False
    loss_noted: bool = False
    trial: Run | None = None
    loss: Loss | None = None
    has_ended: bool = False
    ordered_end_until: float = 0.0
    trial_hold: TrialHold | None = None
    unproven: int = 0
    unproven_at: float = 0.0
    no_unproven_until: float = 0.0
    health: Health = field(default_factory=Health)

    @property
    def name(self) -> str:
        return self.record.name

    @property
    def pool(self) -> str:
        return self.record.pool

    def is_open(self) -> bool:
        """Return whether the worker may get new tasks."""
        return not self.closing_for and self.may_open()

    def may_open(self) -> bool:
        """Return whether it may get tasks unless it closes for an order."""
        return (
            self.has_listed
            and not self.gaps.is_open
            and not self.lease_expired
            and not self.draining
            and not self.awaits_record
            and self.report_from_ms is None
            and not self.departing
            and not self.retiring
            and not self.silence_recorded
            and not self.lease_recorded
            and self.silent_since is None
            and self.unreachable_since is None
        )

    def has_left(self) -> bool:
        """Return whether a worker that departs certainly runs nothing.

        The ends that it has listed are stored then.
        """
        is_empty = self.has_listed and not self.runs
        is_stored = self.stored_position >= self.processed_position
        return self.departing and (
            self.lease_expired or (is_empty and is_stored)
        )

    def has_room(self, step: Step) -> bool:
        """Return whether a task of a step fits beside the worker's runs."""
        capacity = self.record.resources
        cpu = 0 if step.fills else step.cpu
        return (
            not self.unsized_runs
            and self.cpu_used + cpu <= capacity.cpu
            and self.memory_used + step.memory_mb <= capacity.memory_mb
            and self.gpus_used + step.gpus <= capacity.gpus
        )

    def fits_when_empty(self, step: Step) -> bool:
        """Return whether a task of a step fits if the worker runs nothing."""
        capacity = self.record.resources
        cpu = 0 if step.fills else step.cpu
        return (
            cpu <= capacity.cpu
            and step.memory_mb <= capacity.memory_mb
            and step.gpus <= capacity.gpus
        )

    def is_overfull(self) -> bool:
        """Return whether the worker's runs take more than its room."""
        capacity = self.record.resources
        return (
            self.cpu_used > capacity.cpu
            or self.memory_used > capacity.memory_mb
            or self.gpus_used > capacity.gpus
        )

    def holds_its_runs(self) -> bool:
        """Return whether all runs fit, also those that may still start."""
        return not self.unsized_runs and not self.is_overfull()

    def add_run(self, run: Run) -> None:
        self.runs[run.key] = run
        self.unsized_runs += run.is_unsized
        self.cpu_used += run.cpu
        self.memory_used += run.memory_mb
        self.gpus_used += run.gpus

    def remove_run(self, run: Run) -> None:
        del self.runs[run.key]
        self.unsized_runs -= run.is_unsized
        self.cpu_used -= run.cpu
        self.memory_used -= run.memory_mb
        self.gpus_used -= run.gpus


@dataclass(slots=True, kw_only=True)
class StepWork:
    """A step of one occurrence of a job that may run.

    Dictionaries with ``int`` keys are by index of the task.

    :param waiting: indices of the tasks that are not done and have no run.
    :param last_run: highest run number used for each task.
    :param avoided_workers: workers on which a task has failed or stalled, or
        that did not take its start.
    :param restarted_tasks: tasks that were stopped as stalled; they are not
        stopped for it again.
    :param checkpoint_runs: number of the run that each checkpoint is from.
    :param failed_runs: numbers of the failed runs of each task, so that a run
        counts once even if it is listed again.
    :param exhausted: tasks that have used up their attempts.
    :param not_before: local time before which a task is not started again.
    :param released_at: local time at which the last run of a task ended.
    :param tickets: by worker, the advisor's ticket for it and the local time
        at which that expires.
    :param advice_pending: whether a call to the advisor has no answer yet.
    :param advice_since: local time since which it waits for a call to the
        advisor, or ``None``.
    :param advice_after: local time before which the advisor isn't asked.
    :param advice_check_after: local time before which it isn't checked whether
        there are workers to ask about.
    :param advice_allowed: workers that the advisor has allowed, also those
        whose tickets have expired.
    :param advice_refused: by worker that the advisor did not allow, the local
        time of its answer.
    :param runs_per_rack: number of runs in each rack.
    :param runs_per_zone: number of runs in each availability zone.
    :param runs_per_worker: number of runs on each worker.
    :param ended_s: run times of the tasks that are done, kept with look-ahead
        only.
    :param crashes: number of workers that have crashed under each task and
        are recorded; by index 0 for a whole gang. Such a task is a suspect.
    :param survived: suspects that were proven in this term, likewise. They
        are started as any other task.
    :param victims: tasks whose start the first worker that crashed under them
        had borne. They are suspects only after another crash.
    :param trial_wait: wait of its suspects for a trial, or ``None``.
    :param ready_at: local time at which the step became ready to run, or 0.
    :param worked_at: local time until which a task was last known to run.
    :param quiet_since: local time since which its pool is quiet and has room
        for its tasks, or ``None``.
    """

    job: JobWork
    occurrence: int
    number: int
    step: Step
    waiting: set[int] = field(default_factory=set)
    runs: dict[int, list[Run]] = field(default_factory=dict)
    last_run: dict[int, int] = field(default_factory=dict)
    saved_checkpoints: dict[int, str] = field(default_factory=dict)
    avoided_workers: dict[int, set[str]] = field(default_factory=dict)
    restarted_tasks: set[int] = field(default_factory=set)
    checkpoint_runs: dict[int, int] = field(default_factory=dict)
    failed_runs: dict[int, set[int]] = field(default_factory=dict)
    exhausted: set[int] = field(default_factory=set)
    not_before: dict[int, float] = field(default_factory=dict)
    released_at: dict[int, float] = field(default_factory=dict)
    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    advice_pending: bool = False
    advice_since: float | None = None
    advice_after: float = 0.0
    advice_check_after: float = 0.0
    advice_allowed: set[str] = field(default_factory=set)
    advice_refused: dict[str, float] = field(default_factory=dict)
    runs_per_rack: dict[str, int] = field(default_factory=dict)
    runs_per_zone: dict[str, int] = field(default_factory=dict)
    runs_per_worker: dict[str, int] = field(default_factory=dict)
    crashes: dict[int, int] = field(default_factory=dict)
    survived: set[int] = field(default_factory=set)
    victims: set[int] = field(default_factory=set)
    trial_wait: TrialWait | None = None
    ready_at: float = 0.0
    worked_at: dict[int, float] = field(default_factory=dict)
    quiet_since: float | None = None
    ended_s: list[float] | None = None

    def task_id(self, index: int) -> TaskId:
        return TaskId(self.job.name, self.occurrence, self.number, index)

    def get_crash_index(self, index: int) -> int:
        """Return the index by which crashes under a task are counted."""
        return 0 if self.step.gang else index

    def is_suspect(self, index: int) -> bool:
        """Return whether a task may be started on trial only."""
        index = self.get_crash_index(index)
        crashes = self.crashes.get(index, 0)
        if crashes == 1 and index in self.victims:
            return False
        return crashes > 0 and index not in self.survived

    def count_runs(self) -> int:
        return sum(len(runs) for runs in self.runs.values())

    def save_checkpoint(self, index: int, number: int, saved: str) -> None:
        """Keep a checkpoint unless one of a later run is known."""
        if number >= self.checkpoint_runs.get(index, 0):
            self.checkpoint_runs[index] = number
            self.saved_checkpoints[index] = saved

    def record_failed_run(
        self, index: int, number: int, max_attempts: int
    ) -> None:
        """Count a failed run, and give up the task after the last attempt.

        :param index: index of the task; 0 for a whole gang.
        """
        runs = self.failed_runs.setdefault(index, set())
        runs.add(number)
        if len(runs) >= max_attempts:
            self.exhausted.add(index)

    def update_attempts(self, max_attempts: int) -> None:
        """Apply a changed number of attempts to the tasks given up."""
        self.exhausted = {
            index
            for index in self.exhausted
            if len(self.failed_runs[index]) >= max_attempts
        }


@dataclass(slots=True, kw_only=True)
class JobWork:
    """An accepted job that is not over.

    :param accepted_at: local time of its acceptance, or of the change of
        leader if it was accepted before.
    :param objective_s: time after acceptance by which it should be done.
    :param work_core_s: expected work of all its tasks, in core seconds.
    :param remaining_core_s: expected work of the tasks that are not done.
    :param critical_path_s: expected time for the longest chain of steps that
        are not done.
    :param planned_path_s: ``critical_path_s`` when it was accepted.
    :param from_earlier_epoch: accepted before this epoch, so workers that
        have not been read may run its tasks.
    :param may_have_run: an earlier leader may have started its tasks. This
        stays, as their ends may be known only to workers that were given up.
    :param pools: pools whose workers may run its tasks.
    :param workspace: its owner, or empty.
    :param beyond_rate: its workspace had submitted too many jobs before it.
    :param proven: one of its runs is proven or done.
    :param unproven_runs: runs that are counted as unproven, until it is
        proven.
    :param unproven_workers: number of these runs by name of the worker.
    :param held_since: local time since which its tasks are held back until
        another job is proven, or ``None``.
    :param first_occurrence: the first one of a timed job that was not over
        when the job was added.
    :param next_occurrence: the first one that was neither opened nor found to
        be over.
    """

    name: str
    queue: Queue
    accepted_at: float
    objective_s: float = 0.0
    work_core_s: float = 0.0
    remaining_core_s: float = 0.0
    critical_path_s: float = 0.0
    planned_path_s: float = 0.0
    lasting: bool = False
    from_earlier_epoch: bool = False
    may_have_run: bool = False
    started: bool = False
    pools: tuple[str, ...] = ()
    workspace: str = ''
    beyond_rate: bool = False
    proven: bool = False
    unproven_runs: dict[RunKey, Run] = field(default_factory=dict)
    unproven_workers: dict[str, int] = field(default_factory=dict)
    held_since: float | None = None
    first_occurrence: int = 0
    next_occurrence: int = 0
    steps: dict[tuple[int, int], StepWork] = field(default_factory=dict)

    @property
    def has_failed(self) -> bool:
        """Whether a task has failed too often; no more tasks are started."""
        return any(step.exhausted for step in self.steps.values())


@dataclass(slots=True)
class PassProgress:
    """What a pass over a pool that was interrupted has tried already.

    :param suspects: keys of steps whose suspects were tried before the jobs.
    :param jobs: names of jobs.
    :param overdue: keys of steps for which cautions were set aside.
    """

    suspects: set[tuple[str, int, int]] = field(default_factory=set)
    jobs: set[str] = field(default_factory=set)
    overdue: set[tuple[str, int, int]] = field(default_factory=set)


@dataclass(slots=True, kw_only=True)
class PoolWork:
    """Steps that wait for workers of one pool, and the pool's load.

    :param dirty: something has changed, so placement is tried again.
    :param arrivals: jobs that were accepted lately, the oldest first.
    :param first_size: number of workers before its first job.
    :param peak_cpu: highest processor use of arriving work, in thousandths of
        a core, decaying with time.
    :param peak_at: local time of the last decay of ``peak_cpu``.
    :param slack_s: mean time that its jobs can wait and still be on time;
        ``None`` before the first job.
    :param turn: number of its last peak among those of all pools, or 0.
    :param is_peaking: whether that peak still goes on.
    :param history: its last peaks; learned with look-ahead only.
    :param has_surplus: it has more instances than it needs, so that its tasks
        gather on few workers and the others can be released.
    :param crashed_at: local time of the last crash of one of its workers, or
        ``None``.
    :param alerted_at: local time of the last crash that followed another one
        within ``REPEATED_CRASH_S``, or ``None``.
    :param forced_at: local time at which a job last got a worker that is left
        to proven jobs, as it had waited for too long.
    :param late_at: local time at which an unproven job that was late already
        last took a worker after a crash.
    :param awaits_proof: tasks are held back until a job is proven or a trial
        is over.
    :param overdue: steps that cautions have held back for too long.
    :param has_new_overdue: no pass has placed these yet.
    :param interrupted: progress of the last pass if it has run out of its
        budget, or ``None``. The next pass goes on where that one stopped.
    """

    name: str
    dirty: bool = True
    waiting: dict[tuple[str, int, int], StepWork] = field(default_factory=dict)
    arrivals: deque[JobWork] = field(default_factory=deque)
    first_size: int = 0
    peak_cpu: float = 0.0
    peak_at: float = 0.0
    slack_s: float | None = None
    turn: int = 0
    is_peaking: bool = False
    history: PeakHistory = field(default_factory=PeakHistory)
    has_surplus: bool = False
    crashed_at: float | None = None
    alerted_at: float | None = None
    forced_at: float = float('-inf')
    late_at: float = float('-inf')
    awaits_proof: bool = False
    overdue: list[StepWork] = field(default_factory=list)
    has_new_overdue: bool = False
    interrupted: PassProgress | None = None

    def needs_pass(self) -> bool:
        """Return whether placement is to be tried, or tried further."""
        return self.dirty or self.interrupted is not None

    def note_crash(self, now: float) -> None:
        """Note that one of its workers has crashed.

        After two in a row, the pool is on alert for a while.
        """
        last_at = self.crashed_at
        if last_at is not None and now - last_at < REPEATED_CRASH_S:
            self.alerted_at = now
        self.crashed_at = now
        self.dirty = True

    def add_arrival(self, job: JobWork) -> None:
        """Count an accepted job in the arriving work and the mean slack."""
        slack = job.objective_s - job.planned_path_s
        if self.slack_s is None:
            self.slack_s = slack
        self.slack_s += SLACK_WEIGHT * (slack - self.slack_s)
        self.arrivals.append(job)
        if len(self.arrivals) > MAX_ARRIVALS:
            self.arrivals.popleft()

    def update_peak(self, cpu: float, now: float) -> None:
        """Decay the highest load, and raise it to the present load."""
        age_s = max(now - self.peak_at, 0.0)
        self.peak_cpu *= 0.5 ** (age_s / PEAK_HALF_LIFE_S)
        self.peak_at = now
        self.peak_cpu = max(self.peak_cpu, cpu)

    def arriving_cpu(self, now: float) -> float:
        """Return the processor use of arriving work in thousandths of a core.

        The work of each job is spread over the time that it is expected to
        take, so that a single large job does not look like a burst.
        """
        while self.arrivals and _age_s(self.arrivals[0], now) > max(
            _arrival_window_s(self.arrivals[0]), ARRIVALS_S
        ):
            self.arrivals.popleft()
        return sum(
            1000 * job.work_core_s / _arrival_window_s(job)
            for job in self.arrivals
            if _age_s(job, now) <= _arrival_window_s(job)
        )


def _age_s(job: JobWork, now: float) -> float:
    return now - job.accepted_at


def _arrival_window_s(job: JobWork) -> float:
    return max(job.planned_path_s, MIN_ARRIVAL_WINDOW_S)


@dataclass(frozen=True, slots=True, kw_only=True)
class StartTask:
    """Start a run on its worker.

    :param checkpoint: checkpoint from which to continue, or empty.
    :param ticket: ticket of the placement advisor, or empty.
    :param is_repeat: an earlier order of this start got no answer.
    """

    run: Run
    specification: str
    checkpoint: str
    ticket: str = ''
    is_repeat: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StopTask:
    """Stop a run.

    :param reason: reason for the log, e.g. ``cancelled``.
    """

    worker: Worker
    task: TaskId
    number: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceTask:
    """Change the pace of a run.

    :param percent: new pace in percent of the full speed.
    :param previous_pace: pace to restore in the tables if the order fails.
    """

    run: Run
    percent: int
    previous_pace: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AskAdvice:
    """Ask the placement advisor which of some workers may run a step.

    :param timeout_s: limit of the wait for the answer from when it is sent.
    """

    work: StepWork
    workers: tuple[Worker, ...]
    timeout_s: float


Order = StartTask | StopTask | PaceTask | AskAdvice
