"""Run the demo and print its figures as a JSON object in the last line."""

from __future__ import annotations

from dataclasses import dataclass
import json
from pathlib import Path
import signal
import sys
import tempfile
import time
from typing import Any

from demo.processes import ROOT
from demo.scenario import DemoError
from demo.scenario import Scenario
from demo.settings import RunSettings
from demo.topology import make_topology
from galenareel._common.setting_fields import declare_setting
from galenareel._common.settings import read_settings
from galenareel._document.reading import read_environment

SUMMARY = 'Runs a whole deployment on loopback for less than a minute.'


@dataclass(frozen=True, slots=True, kw_only=True)
class DemoSettings(RunSettings):
    """Settings of the demo."""

    keep: str = declare_setting(
        'keep the records and logs in this folder, which must be empty',
        reader=str,
        metavar='PATH',
        default='',
    )


def main() -> int:
    cfg = read_settings(
        'demo', DemoSettings, summary=SUMMARY, argv=sys.argv[1:], environ={}
    )
    # On SIGTERM the demo stops its processes as it does on SIGINT.
    signal.signal(signal.SIGTERM, _raise_interrupt)
    started_at = time.monotonic()
    if cfg.keep:
        Path(cfg.keep).mkdir(parents=True, exist_ok=True)
        return _run(cfg, Path(cfg.keep), started_at)
    with tempfile.TemporaryDirectory(prefix='galenareel-demo-') as folder:
        return _run(cfg, Path(folder), started_at)


def _raise_interrupt(_number: int, _frame: Any) -> None:
    raise KeyboardInterrupt


def _run(cfg: DemoSettings, folder: Path, started_at: float) -> int:
    text = (ROOT / 'examples' / f'{cfg.deployment}.yaml').read_text()
    environment = read_environment(text)
    scenario = Scenario(
        text,
        environment,
        make_topology(environment),
        folder,
        seed=cfg.seed,
        print_line=_print_line,
    )
    try:
        figures = scenario.run()
    except DemoError as exc:
        _print_line(f'demo failed: {exc}')
        print(json.dumps({'failed': str(exc)}))
        return 1
    except KeyboardInterrupt:
        return 130
    finally:
        killed = scenario.processes.stop()
    problems = figures.list_problems()
    problems += [
        f'{name} did not stop in time and was killed' for name in killed
    ]
    for problem in [*problems, *figures.verdict.details]:
        _print_line(f'problem: {problem}')
    duration_s = round(time.monotonic() - started_at, 1)
    result = {
        'deployment': cfg.deployment,
        'seed': cfg.seed,
        **figures.as_json(),
        'problems': problems,
        'duration_s': duration_s,
    }
    print(json.dumps(result), flush=True)
    return 1 if problems else 0


def _print_line(line: str) -> None:
    print(line, flush=True)


if __name__ == '__main__':
    sys.exit(main())
