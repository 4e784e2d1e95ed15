"""Authentication of incoming links of a control member."""

from __future__ import annotations

from galenareel._common.frames import Link
from galenareel._common.log import Log
from galenareel._common.messages import Hello
from galenareel._common.messages import Welcome
from galenareel._common.secret_match import secrets_match


def answer_hello(
    link: Link, msg: Hello, *, name: str, secret: bytes, log: Log
) -> Welcome | None:
    """Check the cluster secret of a new link.

    If it matches, the name of the peer is set on the link.

    :param name: name of this process, sent in the reply.
    :returns: the reply; ``None`` if the secret is wrong, after the link was
        closed.
    """
    if not secrets_match(msg.secret.encode(), secret):
        log.warning('wrong_cluster_secret', peer=msg.process)
        link.close()
        return None
    link.peer = msg.process
    return Welcome(process=name)
