"""Check what a worker says of itself, and what is stored of it."""

from __future__ import annotations

import re

import msgspec

from galenareel._common.addresses import ADDRESS_RULE
from galenareel._common.addresses import is_address
from galenareel._common.findings import Findings
from galenareel._common.texts import shorten
from galenareel._jobs.model import Resources
from galenareel._jobs.model import WorkerRecord

# No real machine has more. A worker beyond it would take all tasks of its
# pool, or hide that the pool is short of room.
MAX_RESOURCES = Resources(
    cpu=16_384_000,  # thousandths of a core
    memory_mb=256 * 1024 * 1024,  # 256 TB
    gpus=1024,
)
MAX_BORN_MS = 4_102_444_800_000  # the year 2100
MAX_TEXT_CHARS = 256  # of a name, pool, zone or label
MAX_LABELS = 64

# A name goes into the head of requests to its worker.
_NAME = re.compile(rf'[!-~]{{1,{MAX_TEXT_CHARS}}}')


def check_worker(record: WorkerRecord) -> Findings:
    """Return all findings for which a worker can't be used."""
    found = Findings()
    if not _NAME.fullmatch(record.name):
        found.add(
            place='name',
            problem=f'it is {shorten(record.name)}',
            remedy=f'give 1 to {MAX_TEXT_CHARS} printable ASCII characters '
            'without spaces',
        )
    if not is_address(record.address):
        found.add(
            place='address',
            problem=f'{shorten(record.address)} is not host:port',
            remedy=f'give {ADDRESS_RULE}',
        )
    if not 0 <= record.born <= MAX_BORN_MS:
        found.add(
            place='born',
            problem=f'it is {record.born}',
            remedy=f'give milliseconds since 1970 from 0 to {MAX_BORN_MS}',
        )
    _check_text(found, 'pool', record.pool, min_chars=1)
    _check_text(found, 'zone', record.zone)
    if len(record.labels) > MAX_LABELS:
        found.add(
            place='labels',
            problem=f'there are {len(record.labels)}',
            remedy=f'give up to {MAX_LABELS} labels',
        )
    for number, label in enumerate(record.labels[:MAX_LABELS]):
        _check_text(found, f'labels[{number}]', label)
    for name in Resources.__struct_fields__:
        check_amount(
            found,
            f'resources.{name}',
            getattr(record.resources, name),
            getattr(MAX_RESOURCES, name),
        )
    return found


def find_link_problem(record: WorkerRecord) -> str:
    """Return why no request can be sent to a worker, or an empty text."""
    return '; '.join(
        str(item)
        for item in check_worker(record).items
        if item.place in ('name', 'address')
    )


def drop_false_room(record: WorkerRecord) -> WorkerRecord:
    """Return a record, without room if no machine can have what it says.

    An older build may have stored such a record. Its worker may run tasks,
    so it is read as the others are, but gets no further ones.
    """
    if all(
        0 <= getattr(record.resources, name) <= getattr(MAX_RESOURCES, name)
        for name in Resources.__struct_fields__
    ):
        return record
    return msgspec.structs.replace(record, resources=Resources(0, 0))


def check_amount(
    found: Findings, place: str, value: object, high: int
) -> None:
    """Add a finding unless a value is a whole number from 0 to a bound."""
    if isinstance(value, int) and not isinstance(value, bool):
        if 0 <= value <= high:
            return
    found.add(
        place=place,
        problem=f'it is {shorten(value)}',
        remedy=f'report a whole number from 0 to {high}; '
        'until then the last valid report holds',
    )


def _check_text(
    found: Findings, place: str, text: str, *, min_chars: int = 0
) -> None:
    if min_chars <= len(text) <= MAX_TEXT_CHARS and text.isprintable():
        return
    found.add(
        place=place,
        problem=f'it is {shorten(text)} with {len(text)} characters',
        remedy=f'give {min_chars} to {MAX_TEXT_CHARS} printable characters',
    )
