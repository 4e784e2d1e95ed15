"""Compare the planning of instances with its bound on traces of jobs.

The figures are of the model: `python -m experiment.pools`. Cost is seconds of
one instance in a pool, with moves at 1.1 s each.
"""

from __future__ import annotations

from experiment.pool_bound import compute_bound
from experiment.pool_replay import Replay
from experiment.pool_trace import Lasting
from experiment.pool_trace import make_constant
from experiment.pool_trace import make_turns
from experiment.pool_trace import POOLS
from experiment.pool_trace import PoolTrace
from experiment.pool_trace import Wave
from galenareel._scheduling.policy import SchedulingPolicy

TRACES = {
    'calm day': make_constant(0.4, 20.0),
    'begins with a peak': make_turns('a-c', seconds=18.0),
    'turns': make_turns('abcd' * 4),
    'turns that jitter': make_turns('abcd' * 4, jitter_s=1.5, seconds=72.0),
    'turns of random jobs': make_turns('abcd' * 4, is_random=True),
    'small peaks': make_turns('abcd' * 4, mean_jobs_s=1.5),
    'order changes': make_turns('abcdabcdacbdbadc'),
    'turns stop': make_turns('abcd' * 2, seconds=72.0),
    'one pool stops': make_turns('abcdabcda-cda-cda-cd'),
    'two at once': make_turns('a+bcd' * 4),
}


def replay(trace: PoolTrace, *, lookahead: bool) -> Replay:
    """Return a trace's replay at its end."""
    policy = SchedulingPolicy(lookahead=lookahead)
    return Replay(trace, policy).run(trace.seconds)


def main() -> None:
    for name, trace in TRACES.items():
        bound = compute_bound(trace)
        print(
            f'{name}: bound {bound.total:.0f}'
            f' (work {bound.work:.0f}, moves {bound.moves:.0f})'
        )
        for lookahead in (False, True):
            end = replay(trace, lookahead=lookahead)
            print(
                f'  look-ahead {"on" if lookahead else "off"}:'
                f' cost {end.cost:.0f}, in pools {end.instance_s:.0f},'
                f' moves {end.moves}, waited {end.waited}'
            )
    trace = make_turns('abcd' * 4)
    trace.lasting = tuple(Lasting(pool, 4, 2, 1) for pool in POOLS)
    trace.wave = Wave(duration_s=20.0)
    print(f'turns beside lasting work and a wave: {compute_bound(trace)}')


if __name__ == '__main__':
    main()
