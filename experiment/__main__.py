"""Compare the policies on one trace; the last line printed is JSON."""

from __future__ import annotations

import argparse
from concurrent.futures import as_completed
from concurrent.futures import ProcessPoolExecutor
import json
import sys

from experiment.bound import compute_bounds
from experiment.control import Control
from experiment.policies import tick_galenareel
from experiment.policies import tick_greedy
from experiment.policies import tick_static
from experiment.trace import DEPLOYMENTS
from experiment.trace import make_trace

POLICIES = {
    'galenareel': tick_galenareel,
    'static': tick_static,
    'greedy': tick_greedy,
}


def run_policy(
    name: str, deployment: str, seed: int
) -> tuple[dict[str, float | int], list[str]]:
    """Return the figures of one policy and the first problems of its run.

    :param name: a policy, or ``bound`` for the lower bounds.
    """
    trace = make_trace(deployment, seed)
    if name == 'bound':
        return compute_bounds(trace), []
    control = Control(trace, POLICIES[name])
    figures = control.run()
    ledger = control.world.ledger
    return figures, ledger.violations[:10] + ledger.interrupted[:10]


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog='experiment')
    parser.add_argument('--deployment', choices=DEPLOYMENTS, default='abay')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--policy', choices=POLICIES, default='')
    options = parser.parse_args(arguments)
    result: dict[str, object] = {
        'deployment': options.deployment,
        'seed': options.seed,
    }
    names = [options.policy] if options.policy else [*POLICIES, 'bound']
    with ProcessPoolExecutor(len(names)) as pool:
        runs = {
            pool.submit(
                run_policy, name, options.deployment, options.seed
            ): name
            for name in names
        }
        for fut in as_completed(runs):
            figures, problems = fut.result()
            result[runs[fut]] = figures
            print(f'{runs[fut]}: {figures}', *problems, sep='\n  ', flush=True)
    print(json.dumps(result))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
