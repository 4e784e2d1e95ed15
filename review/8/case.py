"""A new version renames a route, and accepted jobs are answered 410."""

from __future__ import annotations

import os
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib2'))

from standins import make_config
from standins import make_route
from standins import make_service
from standins import run_case
from standins import wait_until

MACHINES = 6
VISIBLE_S = 3.0
APPLY_S = 2.0  # configApplyMs
CANCEL_S = 3.0  # cancel_ms
STOP_S = 0.4  # stopTimeoutMs
READ_JOB, CANCELLED_JOB = '5c0e7a21d94b36f8', '61f2b0c49a7d3e15'


def case(world, trouble):
    for number in range(MACHINES):
        world.platform.add(
            f'm-{number:05d}',
            'huvo11a',
            cpu=64000,
            rack=f'r1-{number // 4}',
            zone='urubici',
        )
    services = [make_service('huvo11a')]
    world.plan = lambda worker, task, number: ('done', None)
    world.start(
        make_config(
            3, [make_route('r-anu6wsj', '/puxa400/', 'huvo11a')], services
        )
    )
    wait_until(
        lambda: world.count_workers() >= MACHINES, 20, 'a list of each worker'
    )
    body = {
        'specification': 'reconcile',
        'steps': [
            {
                'count': 3,
                'cpu': 5000,
                'memoryRequestMb': 1024,
                'estimatedMs': 500,
                'longRunning': True,
            }
        ],
    }
    for job in (READ_JOB, CANCELLED_JOB):
        if world.client('POST', f'/puxa400/{job}', body)[0] != 200:
            return []
    wait_until(lambda: len(world.starts) >= 6, 15, 'a start of each task')
    accepted_at = world.record.now()
    time.sleep(VISIBLE_S + 1.0)
    if trouble:
        # The route is removed, and another one takes over its place.
        world.configure(
            make_config(
                7, [make_route('r-qh2kx9d', '/puxa400/', 'huvo11a')], services
            )
        )
        time.sleep(APPLY_S + 1.0)
    breaks = []
    for front in (0, 1):
        status, reply = world.client(
            'GET', f'/puxa400/{READ_JOB}', front=front
        )
        if status == 410:
            breaks.append(
                f'LOST: a GET for {READ_JOB}, which was accepted {world.record.now() - accepted_at:.1f} s '
                'before and which nobody has cancelled, is answered 410'
            )
    status, _ = world.client('DELETE', f'/puxa400/{CANCELLED_JOB}')
    asked_at = world.record.now()
    time.sleep(CANCEL_S + STOP_S + 2.0)
    if status in (200, 410):
        running = sorted(
            task
            for row in world.platform.machines.values()
            if row['worker'] is not None
            for task in row['worker'].running
            if task.startswith(CANCELLED_JOB)
        )
        world.record.add(f'runs of {CANCELLED_JOB}: {running}')
        if running:
            breaks.append(
                f'UNASKED: {world.record.now() - asked_at:.1f} s after its cancelling was answered '
                f'{status}, tasks run on: {", ".join(running)}'
            )
    return breaks


run_case(
    Path(__file__).resolve().parent,
    case,
    trouble=os.environ.get('TROUBLE', '1') != '0',
)
