"""Reading of the environment document from YAML.

Every finding about a document is collected with its line and field and
reported together. A document is input from outside, so its size, depth and
aliases are limited before anything is built from it.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
from functools import cache
from hashlib import sha256
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import msgspec
import yaml

from galenareel._common.findings import Finding
from galenareel._common.findings import Findings
from galenareel._common.findings import FindingsError
from galenareel._document.checks import check
from galenareel._document.model import Environment
from galenareel._document.tree import Branch
from galenareel._document.tree import Tree

# A document of the two-year target (82 pools, 490 teams) has about 60 KB.
MAX_BYTES = 256 * 1024
MAX_DEPTH = 8
MAX_SHOWN_CHARS = 40

_Loader: Any = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_SCALAR_TAGS = frozenset(
    f'tag:yaml.org,2002:{name}'
    for name in ('str', 'int', 'float', 'bool', 'null')
)


def compute_digest(text: str) -> str:
    """Identity of a document's text."""
    return sha256(text.encode('utf-8', 'surrogatepass')).hexdigest()


def read_environment(text: str) -> Environment:
    """Read and check a document.

    :raises FindingsError: with every finding, in the order of the lines.
    """
    findings = Findings()
    root = _compose(text, findings)
    if root is None:
        raise FindingsError(tuple(findings.items))
    reader = _Reader(findings)
    values = reader.read(root, Environment, '')
    if isinstance(values, dict):
        check(Tree(values=values, lines=reader.lines), findings)
    if findings.items:
        raise FindingsError(tuple(sorted(findings.items, key=_line_of)))
    return msgspec.convert(values, Environment)


def _line_of(finding: Finding) -> int:
    return int(finding.place.split(',')[0].removeprefix('line '))


def _compose(text: str, findings: Findings) -> Any:
    """The node tree of a text; ``None`` with a finding if it has none."""
    size = len(text.encode('utf-8', 'surrogatepass'))
    if size > MAX_BYTES:
        findings.add(
            place='line 1',
            problem=f'the document has {size} bytes',
            remedy=f'keep it within {MAX_BYTES} bytes',
        )
        return None
    try:
        _check_events(text, findings)
        if findings.items:
            return None
        root = yaml.compose(text, Loader=_Loader)
    except yaml.YAMLError as exc:
        mark = getattr(exc, 'problem_mark', None)
        line = _line_at(text, exc) if mark is None else mark.line + 1
        reason = getattr(exc, 'problem', None) or getattr(exc, 'reason', exc)
        findings.add(
            place=f'line {line}',
            problem=f'not YAML: {reason}',
            remedy='correct the syntax at or above this line',
        )
        return None
    if root is None:
        findings.add(
            place='line 1',
            problem='the document is empty',
            remedy='start from one of the files in examples/',
        )
    return root


def _line_at(text: str, exc: yaml.YAMLError) -> int:
    position = getattr(exc, 'position', 0) or 0
    return text.count('\n', 0, position) + 1


def _check_events(text: str, findings: Findings) -> None:
    """Refuse aliases and deep nesting before nodes are built."""
    depth = 0
    for event in yaml.parse(text, Loader=_Loader):
        line = event.start_mark.line + 1 if event.start_mark else 1
        if isinstance(event, yaml.AliasEvent):
            findings.add(
                place=f'line {line}',
                problem=f'alias *{event.anchor}',
                remedy='write the value out; aliases are not supported',
            )
        elif isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            findings.add(
                place=f'line {line}',
                problem=f'nested deeper than {MAX_DEPTH} levels',
                remedy='the document needs four levels at most',
            )
            return


class _Reader:
    """Turns nodes into plain values and keeps the line of each path."""

    def __init__(self, findings: Findings) -> None:
        self.lines: dict[str, int] = {}
        self._findings = findings
        self._scalars = yaml.SafeLoader('')

    def read(self, node: Any, kind: Any, path: str) -> Any:
        """The value of a node; ``None`` with a finding if it has none."""
        self.lines[path] = node.start_mark.line + 1
        if dataclasses.is_dataclass(kind):
            return self._mapping(node, kind, path)
        if get_origin(kind) is tuple:
            return self._sequence(node, get_args(kind)[0], path)
        return self._leaf(node, kind, path)

    def _add(self, path: str, line: int, problem: str, remedy: str) -> None:
        place = f'line {line}, {path}' if path else f'line {line}'
        self._findings.add(place=place, problem=problem, remedy=remedy)

    def _mapping(self, node: Any, kind: Any, path: str) -> Branch | None:
        line = self.lines[path]
        if not isinstance(node, yaml.MappingNode):
            self._add(path, line, 'not a mapping', 'give fields and values')
            return None
        fields = {one.name: one for one in dataclasses.fields(kind)}
        hints = _hints(kind)
        values: Branch = {}
        for name, key, value in self._entries(node, path):
            child = f'{path}.{name}' if path else name
            if name not in fields:
                self._add(
                    child,
                    key.start_mark.line + 1,
                    'unknown field',
                    f'use one of {", ".join(fields)}',
                )
                continue
            values[name] = self.read(value, hints[name], child)
        for name, one in fields.items():
            if name in values:
                continue
            if _is_required(one):
                child = f'{path}.{name}' if path else name
                self._add(child, line, 'missing field', 'add it')
            elif one.default is not dataclasses.MISSING:
                values[name] = one.default
        return values

    def _entries(self, node: Any, path: str) -> Iterator[tuple[str, Any, Any]]:
        """Name, key node and value node; duplicate keys are findings."""
        seen: set[str] = set()
        for key, value in node.value:
            name = str(key.value)[:MAX_SHOWN_CHARS]
            if name in seen:
                child = f'{path}.{name}' if path else name
                self._add(
                    child,
                    key.start_mark.line + 1,
                    'the field is given twice',
                    'keep one of them',
                )
                continue
            seen.add(name)
            yield name, key, value

    def _sequence(self, node: Any, kind: Any, path: str) -> Any:
        if not isinstance(node, yaml.SequenceNode):
            self._add(path, self.lines[path], 'not a list', 'give a list')
            return None
        return [
            self.read(one, kind, f'{path}[{index}]')
            for index, one in enumerate(node.value)
        ]

    def _leaf(self, node: Any, kind: Any, path: str) -> Any:
        try:
            return msgspec.convert(self._scalar(node), kind)
        except (ValueError, yaml.YAMLError):
            shown = _shown(node)
            remedy = f'give {_described(kind)}'
            self._add(path, self.lines[path], f'{shown} is not valid', remedy)
            return None

    def _scalar(self, node: Any) -> Any:
        if not isinstance(node, yaml.ScalarNode):
            raise ValueError('not a single value')
        if node.tag not in _SCALAR_TAGS:
            raise ValueError('a tag that is not supported')
        return self._scalars.construct_object(node)


@cache
def _hints(kind: Any) -> dict[str, Any]:
    return get_type_hints(kind, include_extras=True)


def _is_required(one: dataclasses.Field[Any]) -> bool:
    return (
        one.default is dataclasses.MISSING
        and one.default_factory is dataclasses.MISSING
    )


def _shown(node: Any) -> str:
    if isinstance(node, yaml.ScalarNode):
        return repr(node.value[:MAX_SHOWN_CHARS])
    return 'a list or mapping'


def _described(kind: Any) -> str:
    for meta in getattr(kind, '__metadata__', ()):
        if isinstance(meta, msgspec.Meta) and meta.description:
            return meta.description
    if kind is bool:
        return 'true or false'
    return 'one of ' + ', '.join(kind)
