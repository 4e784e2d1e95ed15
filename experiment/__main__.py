"""Compares the policies on one trace; the last line is JSON."""

from __future__ import annotations

import argparse
import json
import sys
import time

from experiment.bound import bound
from experiment.control import Control
from experiment.policies import galenareel
from experiment.policies import greedy
from experiment.policies import static
from experiment.trace import DEPLOYMENTS
from experiment.trace import make_trace

POLICIES = {'galenareel': galenareel, 'static': static, 'greedy': greedy}


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
    trace = make_trace(options.deployment, options.seed)
    for name, policy in POLICIES.items():
        if options.policy and name != options.policy:
            continue
        began = time.perf_counter()
        control = Control(trace, policy)
        result[name] = control.run()
        spent = time.perf_counter() - began
        print(f'{name}: {result[name]} in {spent:.1f} s', flush=True)
        ledger = control.world.ledger
        for line in ledger.violations[:10] + ledger.cut[:10]:
            print(f'  {line}')
    result['bound'] = bound(trace)
    print(f'bound: {result["bound"]}')
    print(json.dumps(result))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
