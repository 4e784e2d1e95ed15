"""Comparison of secrets."""

from __future__ import annotations

import pytest

from galenareel._common.secret_match import secrets_match


@pytest.mark.parametrize(
    ('given', 'same'),
    [
        (b'secret', True),
        (b'Secret', False),
        (b'secreT', False),
        (b'', False),
        (b'secre', False),
        (b'secrets', False),
    ],
)
def test_secrets_match_only_as_a_whole(given: bytes, same: bool) -> None:
    """Guards against a prefix or a near miss that is let in."""
    assert secrets_match(given, b'secret') is same
