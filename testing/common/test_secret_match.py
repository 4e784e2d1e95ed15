"""Comparison of secrets."""

from __future__ import annotations

import pytest

from galenareel._common.secret_match import secrets_match


@pytest.mark.parametrize(
    ('given', 'expected'),
    [
        (b'secret', True),
        (b'Secret', False),
        (b'secreT', False),
        (b'', False),
        (b'secre', False),
        (b'secrets', False),
    ],
)
def test_only_the_identical_secret_matches(
    given: bytes, expected: bool
) -> None:
    """Guards against a prefix or a similar secret that is accepted."""
    assert secrets_match(given, b'secret') is expected
