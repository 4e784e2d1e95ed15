"""Tests how the first members find each other and detect a lost disk."""

from __future__ import annotations

from galenareel._consensus.bootstrap import Bootstrap
from galenareel._consensus.bootstrap import make_probe_answer
from galenareel._consensus.messages import InitialMembership
from galenareel._consensus.messages import Probe
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.storage import MemberFile

ADDRESSES = {'a': 'a:1', 'b': 'b:1', 'c': 'c:1'}


def make_bootstrap(name: str, identity: int) -> Bootstrap:
    return Bootstrap(name, ADDRESSES, identity=identity, join_existing=False)


def make_probe(name: str, identity: int, *, in_cluster: bool = False) -> Probe:
    return Probe(name, ADDRESSES[name], identity, in_cluster, False)


def test_bootstrap_waits_for_every_member() -> None:
    """Guards against a cluster that lacks a configured member."""
    first = make_bootstrap('a', 1)
    first.handle_probe(make_probe('b', 2))
    assert first.make_initial_membership(9) is None
    first.handle_probe(make_probe('c', 3))
    initial = first.make_initial_membership(9)
    assert initial is not None
    assert [member.identity for member in initial.members] == [1, 2, 3]
    assert make_bootstrap('c', 3).accepts(initial)


def test_only_member_with_first_name_bootstraps() -> None:
    """Guards against two clusters with the same members."""
    other = make_bootstrap('b', 2)
    other.handle_probe(make_probe('a', 1))
    other.handle_probe(make_probe('c', 3))
    assert other.make_initial_membership(9) is None


def test_initial_member_with_lost_disk_creates_no_second_cluster() -> None:
    first = make_bootstrap('a', 11)
    first.handle_probe(make_probe('b', 2, in_cluster=True))
    first.handle_probe(make_probe('c', 3))
    assert first.make_initial_membership(9) is None
    assert first.awaits_join


def test_initial_membership_with_earlier_identity_is_rejected() -> None:
    """Guards against a delayed list with the identity of a lost disk."""
    late = InitialMembership(9, (MemberInfo(2, 'b', 'b:1'),))
    assert not make_bootstrap('b', 22).accepts(late)
    assert make_bootstrap('b', 2).accepts(late)


def test_only_initial_members_are_sent_the_missed_membership() -> None:
    """Guards against a member that votes again after it lost its disk."""
    members = (MemberInfo(1, 'a', 'a:1'), MemberInfo(2, 'b', 'b:1'))
    file = MemberFile(1, 9, members)
    missed = make_probe_answer(make_probe('b', 2), file, 'a', 'a:1')
    assert missed == InitialMembership(9, members)
    fresh = make_probe_answer(make_probe('b', 22), file, 'a', 'a:1')
    assert isinstance(fresh, Probe)
    assert fresh.in_cluster
