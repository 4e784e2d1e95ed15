"""Program that sends requests through a load balancer, as callers do.

The load balancer is not request-aware: it only knows which entries are ready.
Run ``python -m testing.standins.callers PLAN``; PLAN is the path of a
:class:`CallerPlan` as JSON. Requests start at random times at the rates of the
plan, whether or not earlier ones have been answered. Each attempt is written
as one record.
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
from testing.standins.work import compute_checksum
from testing.standins.work import Work

READINESS_INTERVAL_S = 0.25
READINESS_TIMEOUT_S = 0.5
# Only a request with an idempotency key is sent again.
MAX_RESENDS = 2
RESEND_DELAY_S = 0.5
# A caller waits for its answer this much longer than the deadline it sends.
ANSWER_GRACE_S = 2.0
MAX_ANSWER_BYTES = 4000


class Demand(msgspec.Struct, kw_only=True):
    """Requests to one service.

    :param rates: pairs of the second of the run at which a rate begins, and
        the rate in requests a second.
    :param run_s: mean run time of a request.
    :param callers: names of which each request carries one.
    :param keyed: share of the requests that have an idempotency key, 0 to 1.
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
    """Requests to send and the entries to send them to.

    :param entries: addresses at which the entries serve callers.
    :param records: path of the file for the records.
    """

    entries: list[str]
    demands: list[Demand]
    records: str
    duration_s: float
    seed: int = 1


class LoadBalancer:
    """Chooses at random among the entries whose readiness check passes."""

    def __init__(self, entries: list[str], *, rng: Random) -> None:
        self._entries = entries
        self._rng = rng
        self.ready: set[str] = set()

    def start(self) -> None:
        for entry in self._entries:
            gevent.spawn(self._poll_readiness, entry)

    def _poll_readiness(self, entry: str) -> None:
        while True:
            answer = send_request(
                entry, 'GET', '/-/ready', timeout_s=READINESS_TIMEOUT_S
            )
            if answer.status == 200:
                self.ready.add(entry)
            else:
                self.ready.discard(entry)
            gevent.sleep(READINESS_INTERVAL_S)

    def choose(self, *, tried: set[str]) -> str | None:
        candidates = sorted(self.ready - tried)
        return self._rng.choice(candidates) if candidates else None


class Callers:
    """Sends the requests of a plan and records each attempt."""

    def __init__(self, plan: CallerPlan) -> None:
        self._plan = plan
        self._rng = Random(plan.seed)
        self._writer = Writer(Path(plan.records))
        self._requests = Group()
        self._is_stopped = False
        self.balancer = LoadBalancer(plan.entries, rng=self._rng)
        self.sent = 0

    def start(self) -> None:
        self.balancer.start()
        for number, demand in enumerate(self._plan.demands):
            rng = Random(f'{self._plan.seed} {number}')
            gevent.spawn(self._send_demand, demand, rng)

    def stop(self) -> None:
        """Stop sending and wait up to 60 s for the requests in flight."""
        self._is_stopped = True
        self._requests.join(timeout=60)
        self._writer.close()

    def _send_demand(self, demand: Demand, rng: Random) -> None:
        started_at = time.monotonic()
        number = 0
        while not self._is_stopped:
            elapsed_s = time.monotonic() - started_at
            if elapsed_s > self._plan.duration_s:
                return
            rate = get_rate(demand.rates, elapsed_s)
            if rate <= 0:
                gevent.sleep(0.1)
                continue
            # Look at the rate again after at most 0.5 s, so that a change of
            # the rate takes effect soon.
            pause_s = rng.expovariate(rate)
            if pause_s > 0.5:
                gevent.sleep(0.5)
                continue
            gevent.sleep(pause_s)
            number += 1
            token = f'{demand.service}-{self._plan.seed}-{number}'
            self._requests.spawn(
                self._send_until_answered, demand, token, Random(token)
            )

    def _send_until_answered(
        self, demand: Demand, token: str, rng: Random
    ) -> None:
        work = Work(
            token=token,
            service=demand.service,
            run_s=demand.run_s * rng.uniform(0.5, 1.5),
            size=rng.randint(1, MAX_ANSWER_BYTES),
        )
        caller = rng.choice(demand.callers)
        key = token if rng.random() < demand.keyed else ''
        for _ in range(1 + (MAX_RESENDS if key else 0)):
            attempt = self._send_once(demand, work, caller, key)
            if attempt is None:
                return
            self._writer.write(attempt)
            if attempt.outcome is Outcome.ANSWERED:
                return
            gevent.sleep(RESEND_DELAY_S)

    def _send_once(
        self, demand: Demand, work: Work, caller: str, key: str
    ) -> Attempt | None:
        """Send a request once.

        :returns: ``None`` if no entry accepted a connection.
        """
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
                timeout_s=demand.deadline_s + ANSWER_GRACE_S,
            )
            if answer.connected:
                break
        else:
            return None
        self.sent += 1
        is_complete = not answer.problem
        return Attempt(
            token=work.token,
            service=demand.service,
            caller=caller,
            entry=entry,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            outcome=get_outcome(answer),
            idempotent=demand.idempotent,
            urgent=demand.urgent,
            keyed=bool(key),
            deadline_s=demand.deadline_s,
            status=answer.status,
            reason=answer.problem or get_reason(answer),
            version=answer.header('Galenareel-Document-Version'),
            checksum=compute_checksum(answer.body) if is_complete else '',
            expected=compute_checksum(work.build_answer()),
        )


def get_rate(rates: list[tuple[float, float]], elapsed_s: float) -> float:
    """Return the rate in force after a number of seconds.

    :param rates: pairs of start in seconds and rate, in order of the start.
    """
    past = [rate for since, rate in rates if since <= elapsed_s]
    return past[-1] if past else 0.0


def get_outcome(answer: Answer) -> Outcome:
    if answer.problem:
        return Outcome.BROKEN
    name = answer.header('Galenareel-Outcome')
    if name in (Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN):
        return Outcome(name)
    return Outcome.MISLABELLED


def get_reason(answer: Answer) -> str:
    """Return the reason in the body of an entry's own answer.

    It is empty for an answer that the entry passed on from a backend server.
    """
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
