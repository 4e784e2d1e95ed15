"""Program: callers behind a load balancer that is not request-aware.

``python -m testing.standins.callers PLAN`` with a :class:`CallerPlan` as
JSON. Requests arrive at random at the rates of the plan, whether or not
earlier ones were answered. Each attempt leaves one record.
"""

from __future__ import annotations

from pathlib import Path
from random import Random
import signal
import sys
import time

import gevent
from gevent.event import Event
from gevent.pool import Group
import msgspec

from testing.standins.http import Answer
from testing.standins.http import send_request
from testing.standins.records import Attempt
from testing.standins.records import Outcome
from testing.standins.records import Writer
from testing.standins.work import checksum
from testing.standins.work import Work

CHECK_INTERVAL_S = 0.25
CHECK_TIMEOUT_S = 0.5
RESENDS = 2
RESEND_S = 0.5
# A caller waits a little longer than the deadline that it names.
PATIENCE_S = 2.0
MAX_ANSWER_BYTES = 4000


class Demand(msgspec.Struct, kw_only=True):
    """Requests of one service.

    :param rates: requests a second, by the second at which the rate begins.
    :param keyed: share of the requests that carry an idempotency key.
    """

    service: str
    path: str
    rates: list[tuple[float, float]]
    run_s: float
    deadline_s: float
    callers: list[str]
    idempotent: bool = False
    urgent: bool = True
    keyed: float = 0.0


class CallerPlan(msgspec.Struct, kw_only=True):
    """What to send where."""

    entries: list[str]
    demands: list[Demand]
    records: str
    duration_s: float
    seed: int = 1


class LoadBalancer:
    """Chooses among the entries that say that they are ready."""

    def __init__(self, entries: list[str], *, rng: Random) -> None:
        self._entries = entries
        self._rng = rng
        self.ready: set[str] = set()

    def start(self) -> None:
        for entry in self._entries:
            gevent.spawn(self._keep_checking, entry)

    def _keep_checking(self, entry: str) -> None:
        while True:
            answer = send_request(
                entry, 'GET', '/-/ready', timeout_s=CHECK_TIMEOUT_S
            )
            if answer.status == 200:
                self.ready.add(entry)
            else:
                self.ready.discard(entry)
            gevent.sleep(CHECK_INTERVAL_S)

    def choose(self, *, tried: set[str]) -> str | None:
        left = sorted(self.ready - tried)
        return self._rng.choice(left) if left else None


class Callers:
    """All callers of a plan."""

    def __init__(self, plan: CallerPlan) -> None:
        self._plan = plan
        self._rng = Random(plan.seed)
        self._writer = Writer(Path(plan.records))
        self._group = Group()
        self._stopped = False
        self.balancer = LoadBalancer(plan.entries, rng=self._rng)
        self.sent = 0

    def start(self) -> None:
        self.balancer.start()
        for number, demand in enumerate(self._plan.demands):
            rng = Random(f'{self._plan.seed} {number}')
            gevent.spawn(self._arrivals, demand, rng)

    def stop(self) -> None:
        """Send nothing new and wait for what was sent."""
        self._stopped = True
        self._group.join(timeout=60)
        self._writer.close()

    def _arrivals(self, demand: Demand, rng: Random) -> None:
        began = time.monotonic()
        number = 0
        while not self._stopped:
            elapsed = time.monotonic() - began
            if elapsed > self._plan.duration_s:
                return
            rate = rate_at(demand.rates, elapsed)
            if rate <= 0:
                gevent.sleep(0.1)
                continue
            # The step is bounded, so that a new rate counts soon.
            pause_s = rng.expovariate(rate)
            if pause_s > 0.5:
                gevent.sleep(0.5)
                continue
            gevent.sleep(pause_s)
            number += 1
            token = f'{demand.service}-{self._plan.seed}-{number}'
            self._group.spawn(self._request, demand, token, Random(token))

    def _request(self, demand: Demand, token: str, rng: Random) -> None:
        work = Work(
            token=token,
            service=demand.service,
            run_s=demand.run_s * rng.uniform(0.5, 1.5),
            size=rng.randint(1, MAX_ANSWER_BYTES),
        )
        caller = rng.choice(demand.callers)
        key = token if rng.random() < demand.keyed else ''
        for _ in range(1 + (RESENDS if key else 0)):
            attempt = self._attempt(demand, work, caller, key)
            if attempt is None:
                return
            self._writer.write(attempt)
            if attempt.outcome is Outcome.ANSWERED:
                return
            gevent.sleep(RESEND_S)

    def _attempt(
        self, demand: Demand, work: Work, caller: str, key: str
    ) -> Attempt | None:
        """One attempt; ``None`` if no entry took the connection."""
        headers = {
            'Galenareel-Caller': caller,
            'Galenareel-Deadline-S': f'{demand.deadline_s:g}',
        }
        if key:
            headers['Idempotency-Key'] = key
        tried: set[str] = set()
        while entry := self.balancer.choose(tried=tried):
            tried.add(entry)
            sent_at = time.monotonic()
            answer = send_request(
                entry,
                'POST',
                work.build_path(demand.path),
                headers=headers,
                body=work.token.encode(),
                timeout_s=demand.deadline_s + PATIENCE_S,
            )
            if answer.connected:
                break
        else:
            return None
        self.sent += 1
        whole = not answer.problem
        return Attempt(
            token=work.token,
            service=demand.service,
            caller=caller,
            entry=entry,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            outcome=outcome_of(answer),
            idempotent=demand.idempotent,
            urgent=demand.urgent,
            keyed=bool(key),
            deadline_s=demand.deadline_s,
            status=answer.status,
            reason=answer.problem or reason_of(answer),
            version=answer.header('Galenareel-Document-Version'),
            checksum=checksum(answer.body) if whole else '',
            expected=checksum(work.build_answer()),
        )


def rate_at(rates: list[tuple[float, float]], elapsed: float) -> float:
    """The last rate that has begun."""
    begun = [rate for since, rate in rates if since <= elapsed]
    return begun[-1] if begun else 0.0


def outcome_of(answer: Answer) -> Outcome:
    if answer.problem:
        return Outcome.BROKEN
    name = answer.header('Galenareel-Outcome')
    if name in (Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN):
        return Outcome(name)
    return Outcome.MISLABELLED


def reason_of(answer: Answer) -> str:
    """Reason in the body of an answer that is not the backend server's."""
    if answer.header('Galenareel-Outcome') == Outcome.ANSWERED:
        return ''
    try:
        body = msgspec.json.decode(answer.body)
    except msgspec.DecodeError:
        return ''
    return str(body.get('reason', '')) if isinstance(body, dict) else ''


def main() -> None:
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=CallerPlan)
    callers = Callers(plan)
    callers.start()
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    stop.wait(timeout=plan.duration_s)
    callers.stop()
    print(callers.sent, flush=True)


if __name__ == '__main__':
    main()
