"""HTTP for backend servers: they announce themselves once a second."""

from __future__ import annotations

from collections.abc import Callable
import hmac
from typing import Annotated
from typing import Any
from typing import get_type_hints

import falcon
import msgspec

from galenareel._common.findings import Findings
from galenareel._common.frames import parse_address
from galenareel._common.messages import Announcement

PATH = '/v1/announcements'
MAX_BYTES = 16 * 1024
MAX_TEXT = 256
MAX_SLOTS = 4096
Name = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=MAX_TEXT, pattern=r'^[!-~]+$'),
]
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]


class AnnouncementModel(msgspec.Struct, kw_only=True):
    """What a backend server may send; the bounds of each field."""

    instance: Name
    address: Name
    zone: Name
    rack: Name
    service: Name
    incarnation: Name
    slots: Positive = 8
    connections: Positive = 64
    in_use: Count = 0
    leaving: bool = False


_FIELDS = get_type_hints(AnnouncementModel, include_extras=True)
_REQUIRED = frozenset(
    one.name
    for one in msgspec.structs.fields(AnnouncementModel)
    if one.required
)
_REMEDIES = {
    Name: f'1 to {MAX_TEXT} printable ASCII characters without spaces',
    Positive: f'a whole number from 1 to {MAX_SLOTS}',
    Count: f'a whole number from 0 to {MAX_SLOTS}',
}
_decoder = msgspec.json.Decoder(dict[str, Any])


class Announcements:
    """Falcon app of the announcement port.

    :param take: gets each valid announcement.
    """

    def __init__(
        self, *, zone: str, secret: str, take: Callable[[Announcement], None]
    ) -> None:
        self._zone = zone
        self._secret = secret
        self._take = take

    def app(self) -> falcon.App:
        app = falcon.App()
        app.add_route(PATH, self)
        return app

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        if not authorized(req, self._secret):
            refuse(resp, 401, 'unauthorized', WRONG_SECRET)
            return
        data = read_body(req, MAX_BYTES)
        if data is None:
            refuse(resp, 413, 'too_large', f'at most {MAX_BYTES} bytes')
            return
        result = validate(data, zone=self._zone)
        if isinstance(result, Findings):
            resp.status = 422
            resp.content_type = 'application/json'
            resp.data = msgspec.json.encode({'findings': result.items})
            return
        self._take(result)
        resp.status = 204


WRONG_SECRET = 'send Authorization: Bearer with the secret of this port'


def authorized(req: falcon.Request, secret: str) -> bool:
    """Compare in a time that does not depend on the secret."""
    given = req.get_header('Authorization') or ''
    wanted = f'Bearer {secret}'
    return hmac.compare_digest(given.encode(), wanted.encode())


def read_body(req: falcon.Request, limit: int) -> bytes | None:
    """The body, or None if it is over the limit."""
    data: bytes = req.env['wsgi.input'].read(limit + 1)
    if len(data) > limit:
        req.env['galenareel.handler'].drop_body()
        return None
    return data


def refuse(
    resp: falcon.Response, status: int, reason: str, detail: str
) -> None:
    resp.status = status
    resp.content_type = 'application/json'
    resp.data = msgspec.json.encode({'reason': reason, 'detail': detail})


def validate(data: bytes, *, zone: str) -> Announcement | Findings:
    """Check every field and report all that is wrong together."""
    found = Findings()
    try:
        raw = _decoder.decode(data)
    except msgspec.MsgspecError as exc:
        found.add(
            place='body', problem=str(exc), remedy='send one JSON object'
        )
        return found
    for name in sorted(set(raw) - set(_FIELDS)):
        found.add(
            place=name[:MAX_TEXT],
            problem='not a field of an announcement',
            remedy=f'use only {", ".join(_FIELDS)}',
        )
    for name, kind in _FIELDS.items():
        _check_field(name, kind, raw, found)
    if not found.items:
        _check_places(raw, zone, found)
    return found if found.items else Announcement(**raw)


def _check_field(
    name: str, kind: Any, raw: dict[str, Any], found: Findings
) -> None:
    # msgspec stops at the first bad field of a struct, so the fields are
    # converted one by one.
    if name not in raw:
        if name in _REQUIRED:
            found.add(place=name, problem='missing', remedy='give this field')
        return
    try:
        msgspec.convert(raw[name], kind)
    except msgspec.ValidationError as exc:
        found.add(
            place=name,
            problem=f'{raw[name]!r:.80}: {exc}',
            remedy=f'give {_REMEDIES.get(kind, "true or false")}',
        )


def _check_places(raw: dict[str, Any], zone: str, found: Findings) -> None:
    if raw['zone'] != zone:
        found.add(
            place='zone',
            problem=f'{raw["zone"]} is not the zone of this entry',
            remedy=f'announce to an entry of the own zone; this is {zone}',
        )
    if not raw['instance'].startswith(raw['zone'] + '/'):
        found.add(
            place='instance',
            problem=f'{raw["instance"]} is not in the zone given',
            remedy='use zone/name',
        )
    try:
        _host, port = parse_address(raw['address'])
        usable = 0 < port < 65536
    except ValueError:
        usable = False
    if not usable:
        found.add(
            place='address',
            problem=f'{raw["address"]} is not host:port',
            remedy='give the host:port of the HTTP server',
        )
