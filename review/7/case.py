"""Jobs of a queue with advice that come at their peak rate never begin."""

from __future__ import annotations

import os
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib2'))

from standins import Advisor
from standins import make_config
from standins import make_route
from standins import make_service
from standins import run_case
from standins import wait_until

MACHINES = 6
JOBS = 30
PEAK_PER_S = 13.0  # below five times the mean of 2.77 a second
CALM_PER_S = 1.0
FINISH_S = 14.0
STUCK_S = 3.0
ADVICE = {'decisionMs': 300, 'periodMs': 20, 'validityMs': 3000}


def case(world, trouble):
    for number in range(MACHINES):
        world.platform.add(
            f'm-{number:05d}',
            'huvo11a',
            cpu=64000,
            rack=f'r1-{number // 4}',
            zone='urubici',
        )
    world.advice = f'{world.prefix}.3:8621'
    advisor = Advisor(
        world,
        world.advice,
        decision_ms=ADVICE['decisionMs'],
        period_ms=ADVICE['periodMs'],
        validity_ms=ADVICE['validityMs'],
    )
    world.plan = lambda worker, task, number: ('done', 1.0)
    route = make_route('r-anu6wsj', '/puxa400/', 'huvo11a', advice=ADVICE)
    world.start(make_config(1, [route], [make_service('huvo11a')]))
    wait_until(
        lambda: world.count_workers() >= MACHINES, 20, 'a list of each worker'
    )
    body = {
        'specification': 'hold',
        'steps': [
            {
                'count': 1,
                'cpu': 4600,
                'memoryRequestMb': 1024,
                'estimatedMs': 1000,
            }
        ],
    }
    accepted = []
    for number in range(JOBS):
        job = f'{0x5C0E7A21D94B0000 + number:016x}'
        if world.client('POST', f'/puxa400/{job}', body)[0] == 200:
            accepted.append(job)
        time.sleep(1 / (PEAK_PER_S if trouble else CALM_PER_S))
    time.sleep(FINISH_S)
    stuck = _list_stuck(world, accepted)
    time.sleep(STUCK_S)
    stuck = [job for job in _list_stuck(world, accepted) if job in stuck]
    world.record.add(
        f'{len(accepted)} of {JOBS} jobs accepted; advisor: {advisor.calls} '
        f'calls, {advisor.refused} refused with 429, {advisor.handled} handled'
    )
    for job in stuck[:3]:
        world.client('GET', f'/puxa400/{job}')
    busy = sum(
        len(row['worker'].running)
        for row in world.platform.machines.values()
        if row['worker'] is not None
    )
    if not stuck or busy > 2 * MACHINES:
        return []
    return [
        f'LOST: {len(stuck)} of {len(accepted)} accepted jobs have not begun '
        f'{FINISH_S + STUCK_S:.0f} s after the last one came, and '
        f'{MACHINES} workers of 64 cores run {busy} tasks'
    ]


def _list_stuck(world, jobs):
    begun = {task.split('.')[0] for _, _, task, _ in world.starts}
    return [job for job in jobs if job not in begun]


run_case(
    Path(__file__).resolve().parent,
    case,
    trouble=os.environ.get('TROUBLE', '1') != '0',
)
