"""Parser of the environment document.

All findings about a document are collected with their line and field and
reported together. A document is untrusted input: its size and depth are
limited, and aliases are refused, before any object is created from it.
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
from galenareel._document.checks import check_document
from galenareel._document.model import Environment
from galenareel._document.tree import Fields
from galenareel._document.tree import Tree

# A document for the two-year target (82 pools, 490 teams) has about 60 KB.
MAX_DOCUMENT_BYTES = 256 * 1024
MAX_DEPTH = 8
# Limits the length of a field name or value that a finding shows.
MAX_SHOWN_CHARS = 40

_Loader: Any = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_SCALAR_TAGS = frozenset(
    f'tag:yaml.org,2002:{name}'
    for name in ('str', 'int', 'float', 'bool', 'null')
)


def compute_digest(text: str) -> str:
    """Return the SHA-256 of a document's text as hexadecimal digits."""
    return sha256(text.encode('utf-8', 'surrogatepass')).hexdigest()


def read_environment(text: str) -> Environment:
    """Parse and check a document.

    :param text: the YAML text.
    :raises FindingsError: with all findings, in the order of their lines.
    """
    findings = Findings()
    root = _compose(text, findings)
    if root is None:
        raise FindingsError(tuple(findings.items))
    reader = _Reader(findings)
    values = reader.read(root, Environment, '')
    if isinstance(values, dict):
        check_document(Tree(values=values, lines=reader.lines), findings)
    if findings.items:
        raise FindingsError(tuple(sorted(findings.items, key=_get_line)))
    return msgspec.convert(values, Environment)


def _get_line(finding: Finding) -> int:
    return int(finding.place.split(',')[0].removeprefix('line '))


def _compose(text: str, findings: Findings) -> Any:
    """Return the root node of a YAML text.

    :returns: ``None`` if a finding was added.
    """
    size = len(text.encode('utf-8', 'surrogatepass'))
    if size > MAX_DOCUMENT_BYTES:
        findings.add(
            place='line 1',
            problem=f'the document has {size} bytes',
            remedy=f'shorten it to {MAX_DOCUMENT_BYTES} bytes or less',
        )
        return None
    try:
        _check_events(text, findings)
        if findings.items:
            return None
        root = yaml.compose(text, Loader=_Loader)
    except yaml.YAMLError as exc:
        mark = getattr(exc, 'problem_mark', None)
        line = _compute_line(text, exc) if mark is None else mark.line + 1
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


def _compute_line(text: str, exc: yaml.YAMLError) -> int:
    """Return the line of an error that has a position instead of a mark."""
    position = getattr(exc, 'position', 0) or 0
    return text.count('\n', 0, position) + 1


def _check_events(text: str, findings: Findings) -> None:
    """Add a finding for each alias, or if the nesting is too deep.

    The parser's events are checked, so that no node has to be created before.
    """
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
                remedy='remove levels; a valid document has at most four',
            )
            return


class _Reader:
    """Converts nodes to plain values and records the line of each path.

    :param findings: collects what is wrong with the nodes.
    """

    def __init__(self, findings: Findings) -> None:
        self.lines: dict[str, int] = {}
        self._findings = findings
        self._scalar_loader = yaml.SafeLoader('')

    def read(self, node: Any, kind: Any, path: str) -> Any:
        """Convert a node to a value of a type.

        :param kind: type of the value: a model, a tuple or a scalar type.
        :param path: path of the node, e.g. ``pools[0].name``.
        :returns: ``None`` if a finding was added.
        """
        self.lines[path] = node.start_mark.line + 1
        if dataclasses.is_dataclass(kind):
            return self._read_mapping(node, kind, path)
        if get_origin(kind) is tuple:
            return self._read_sequence(node, get_args(kind)[0], path)
        return self._read_scalar(node, kind, path)

    def _add_finding(
        self, path: str, line: int, problem: str, remedy: str
    ) -> None:
        place = f'line {line}, {path}' if path else f'line {line}'
        self._findings.add(place=place, problem=problem, remedy=remedy)

    def _read_mapping(self, node: Any, kind: Any, path: str) -> Fields | None:
        line = self.lines[path]
        if not isinstance(node, yaml.MappingNode):
            self._add_finding(
                path, line, 'not a mapping', 'give fields and values'
            )
            return None
        fields = {field.name: field for field in dataclasses.fields(kind)}
        hints = _get_type_hints(kind)
        values: Fields = {}
        for name, key, value in self._iter_fields(node, path):
            child = f'{path}.{name}' if path else name
            if name not in fields:
                self._add_finding(
                    child,
                    key.start_mark.line + 1,
                    'unknown field',
                    f'use one of {", ".join(fields)}',
                )
                continue
            values[name] = self.read(value, hints[name], child)
        for name, field in fields.items():
            if name in values:
                continue
            if _is_required(field):
                child = f'{path}.{name}' if path else name
                self._add_finding(child, line, 'missing field', 'add it')
            elif field.default is not dataclasses.MISSING:
                values[name] = field.default
        return values

    def _iter_fields(
        self, node: Any, path: str
    ) -> Iterator[tuple[str, Any, Any]]:
        """Yield name, key node and value node of each field.

        A finding is added for each key that occurs again.
        """
        seen: set[str] = set()
        for key, value in node.value:
            name = str(key.value)[:MAX_SHOWN_CHARS]
            if name in seen:
                child = f'{path}.{name}' if path else name
                self._add_finding(
                    child,
                    key.start_mark.line + 1,
                    'the field is given twice',
                    'keep one of them',
                )
                continue
            seen.add(name)
            yield name, key, value

    def _read_sequence(self, node: Any, kind: Any, path: str) -> Any:
        if not isinstance(node, yaml.SequenceNode):
            self._add_finding(
                path, self.lines[path], 'not a list', 'give a list'
            )
            return None
        return [
            self.read(item, kind, f'{path}[{index}]')
            for index, item in enumerate(node.value)
        ]

    def _read_scalar(self, node: Any, kind: Any, path: str) -> Any:
        try:
            return msgspec.convert(self._construct_scalar(node), kind)
        except (ValueError, yaml.YAMLError):
            shown = _format_node(node)
            remedy = f'give {_describe_type(kind)}'
            self._add_finding(
                path, self.lines[path], f'{shown} is not valid', remedy
            )
            return None

    def _construct_scalar(self, node: Any) -> Any:
        if not isinstance(node, yaml.ScalarNode):
            raise ValueError('the node is not a single value')
        if node.tag not in _SCALAR_TAGS:
            raise ValueError('the tag is not supported')
        return self._scalar_loader.construct_object(node)


@cache
def _get_type_hints(kind: Any) -> dict[str, Any]:
    return get_type_hints(kind, include_extras=True)


def _is_required(field: dataclasses.Field[Any]) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _format_node(node: Any) -> str:
    if isinstance(node, yaml.ScalarNode):
        return repr(node.value[:MAX_SHOWN_CHARS])
    return 'a list or mapping'


def _describe_type(kind: Any) -> str:
    for meta in getattr(kind, '__metadata__', ()):
        if isinstance(meta, msgspec.Meta) and meta.description:
            return meta.description
    if kind is bool:
        return 'true or false'
    return 'one of ' + ', '.join(kind)
