"""Format of log lines and of exported metrics, and errors of the output.

Guards against lines that a log reader cannot parse.
"""

from __future__ import annotations

import io
import json
from pathlib import Path

from galenareel._common.log import Log
from galenareel._common.metrics import Metrics
from galenareel._common.readers import Secret


def test_line_is_key_value_pairs_with_the_process() -> None:
    stream = io.StringIO()
    log = Log('entry-1', stream=stream)
    log.debug('hidden')
    log.info('view.changed', index=4, detail='two words\nand a "line"')
    log.warning('secret.read', secret=Secret('much too secret'))
    first, second = stream.getvalue().splitlines()
    assert first.split(' ', 1)[1] == (
        'level=info process=entry-1 event=view.changed index=4 '
        r'detail="two words\nand a \"line\""'
    )
    assert 'too secret' not in second


def test_closed_stream_does_not_stop_the_process() -> None:
    """Guards against a process that ends when the reader of its log does."""

    class BrokenStream(io.StringIO):
        def write(self, _text: str) -> int:
            raise BrokenPipeError

    Log('entry-1', stream=BrokenStream()).error('view.lost')


def test_metrics_are_exported_to_a_file(tmp_path: Path) -> None:
    path = tmp_path / 'metrics'
    metrics = Metrics('entry-1', f'file:{path}')
    metrics.create_counter('requests').add(3)
    metrics.create_histogram('wait').record(0.5)
    metrics.close()
    (line,) = path.read_text().splitlines()
    text = json.dumps(json.loads(line))
    assert 'entry-1' in text
    assert '"requests"' in text and '"wait"' in text
