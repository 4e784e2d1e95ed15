"""Serve the port on which backend servers announce themselves over HTTP.

Each server sends an announcement every second.
"""

from __future__ import annotations

from collections.abc import Callable
import hmac
from typing import Annotated
from typing import Any
from typing import get_type_hints

import falcon
import msgspec

from galenareel._common.addresses import ADDRESS_RULE
from galenareel._common.addresses import is_address
from galenareel._common.findings import Findings
from galenareel._common.messages import Announcement
from galenareel._common.sentinels import NotRun
from galenareel._entry.bodies import read_body
from galenareel._entry.bodies import UnreadBody
from galenareel._entry.outcomes import get_http_status

ANNOUNCEMENTS_PATH = '/v1/announcements'
MAX_BODY_BYTES = 16 * 1024
MAX_TEXT_LENGTH = 256
# Largest number of slots or connections that a server may announce.
MAX_COUNT = 4096
Text = Annotated[
    str,
    msgspec.Meta(
        min_length=1, max_length=MAX_TEXT_LENGTH, pattern=r'^[!-~]+\Z'
    ),
]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class AnnouncementModel(msgspec.Struct, kw_only=True):
    """Fields of an announcement, with the bounds of their values."""

    instance: Text
    address: Text
    zone: Text
    rack: Text
    service: Text
    incarnation: Text
    slots: PositiveCount = 8
    connections: PositiveCount = 64
    in_use: Count = 0
    leaving: bool = False


_FIELDS = get_type_hints(AnnouncementModel, include_extras=True)
_REQUIRED = frozenset(
    field.name
    for field in msgspec.structs.fields(AnnouncementModel)
    if field.required
)
_REMEDIES = {
    Text: (
        f'1 to {MAX_TEXT_LENGTH} printable ASCII characters without spaces'
    ),
    PositiveCount: f'a whole number from 1 to {MAX_COUNT}',
    Count: f'a whole number from 0 to {MAX_COUNT}',
}
_decoder = msgspec.json.Decoder(dict[str, Any])


class AnnouncementApp:
    """Falcon app of the announcement port.

    :param zone: zone of this entry; announcements of others are refused.
    :param secret: bearer token that backend servers must send.
    :param on_announcement: called with each valid announcement.
    """

    def __init__(
        self,
        *,
        zone: str,
        secret: str,
        on_announcement: Callable[[Announcement], None],
    ) -> None:
        self._zone = zone
        self._secret = secret
        self._on_announcement = on_announcement

    def make_app(self) -> falcon.App:
        app = falcon.App()
        app.add_route(ANNOUNCEMENTS_PATH, self)
        return app

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        if not is_authorized(req, self._secret):
            write_error(resp, 401, 'unauthorized', UNAUTHORIZED_DETAIL)
            return
        data = read_body_or_refuse(req, resp, MAX_BODY_BYTES)
        if data is None:
            return
        result = validate_announcement(data, zone=self._zone)
        if isinstance(result, Findings):
            resp.status = 422
            resp.content_type = 'application/json'
            resp.data = msgspec.json.encode({'findings': result.items})
            return
        self._on_announcement(result)
        resp.status = 204


UNAUTHORIZED_DETAIL = (
    'send the secret of this port as Authorization: Bearer SECRET'
)


def is_authorized(req: falcon.Request, secret: str) -> bool:
    """Check the bearer token of a request.

    The comparison takes the same time wherever the tokens differ, so that
    the secret can't be guessed from response times.
    """
    given = req.get_header('Authorization') or ''
    expected = f'Bearer {secret}'
    return hmac.compare_digest(given.encode(), expected.encode())


def read_body_or_refuse(
    req: falcon.Request, resp: falcon.Response, limit: int
) -> bytes | None:
    """Return the body, or answer why it was not read and return None.

    :param limit: size limit in bytes.
    """
    body = read_body(req.env, limit)
    if not isinstance(body, UnreadBody):
        return body
    if body.reason == 'body_too_large':
        detail = f'send a body of at most {limit} bytes'
        write_error(resp, 413, 'too_large', detail)
    else:
        status = get_http_status(NotRun(reason=body.reason))
        write_error(resp, status, body.reason, body.detail)
    return None


def write_error(
    resp: falcon.Response, status: int, reason: str, detail: str
) -> None:
    """Write an error answer with a JSON body."""
    resp.status = status
    resp.content_type = 'application/json'
    resp.data = msgspec.json.encode({'reason': reason, 'detail': detail})


def validate_announcement(
    data: bytes, *, zone: str
) -> Announcement | Findings:
    """Parse an announcement, or return everything that is wrong with it.

    :param zone: zone of this entry, which must also be the server's.
    """
    findings = Findings()
    try:
        raw = _decoder.decode(data)
    except msgspec.MsgspecError as exc:
        findings.add(
            place='body', problem=str(exc), remedy='send one JSON object'
        )
        return findings
    except RecursionError:
        findings.add(
            place='body',
            problem='it is nested too deeply',
            remedy='send one JSON object',
        )
        return findings
    for name in sorted(set(raw) - set(_FIELDS)):
        findings.add(
            place=name[:MAX_TEXT_LENGTH],
            problem='not a field of an announcement',
            remedy=f'send only {", ".join(_FIELDS)}',
        )
    for name, kind in _FIELDS.items():
        _check_field(name, kind, raw, findings)
    if not findings.items:
        _check_location(raw, zone, findings)
    return findings if findings.items else Announcement(**raw)


def _check_field(
    name: str, kind: Any, raw: dict[str, Any], findings: Findings
) -> None:
    # Fields are converted separately, because msgspec stops at the first
    # invalid field of a struct.
    if name not in raw:
        if name in _REQUIRED:
            findings.add(
                place=name, problem='missing', remedy='send this field'
            )
        return
    try:
        msgspec.convert(raw[name], kind)
    except msgspec.ValidationError as exc:
        findings.add(
            place=name,
            problem=f'{raw[name]!r:.80}: {exc}',
            remedy=f'send {_REMEDIES.get(kind, "true or false")}',
        )


def _check_location(
    raw: dict[str, Any], zone: str, findings: Findings
) -> None:
    if raw['zone'] != zone:
        findings.add(
            place='zone',
            problem=f'{raw["zone"]} is not the zone of this entry',
            remedy=f'use an entry of the same zone; this is in {zone}',
        )
    if not raw['instance'].startswith(raw['zone'] + '/'):
        findings.add(
            place='instance',
            problem=f'{raw["instance"]} is not in the zone announced',
            remedy='send the instance as ZONE/NAME',
        )
    if not is_address(raw['address']):
        findings.add(
            place='address',
            problem=f'{raw["address"]} is not host:port',
            remedy=f'send {ADDRESS_RULE}, of the HTTP server',
        )
