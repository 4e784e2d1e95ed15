"""How first members find each other, and lost disks are told apart."""

from __future__ import annotations

from galenareel._consensus.bootstrap import Bootstrap
from galenareel._consensus.bootstrap import make_probe_answer
from galenareel._consensus.messages import InitialMembership
from galenareel._consensus.messages import Probe
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.storage import MemberFile

MEMBERSHIP = {'a': 'a:1', 'b': 'b:1', 'c': 'c:1'}


def bootstrap(name: str, identity: int) -> Bootstrap:
    return Bootstrap(name, MEMBERSHIP, identity=identity, join_existing=False)


def probe(name: str, identity: int, *, in_cluster: bool = False) -> Probe:
    return Probe(name, MEMBERSHIP[name], identity, in_cluster, False)


def test_bootstrap_waits_for_every_member() -> None:
    first = bootstrap('a', 1)
    first.handle_probe(probe('b', 2))
    assert first.make_initial_membership(9) is None
    first.handle_probe(probe('c', 3))
    initial = first.make_initial_membership(9)
    assert initial is not None
    assert [member.identity for member in initial.members] == [1, 2, 3]
    assert bootstrap('c', 3).accepts(initial)


def test_only_the_first_name_bootstraps() -> None:
    """Guards against two clusters of the same members."""
    other = bootstrap('b', 2)
    other.handle_probe(probe('a', 1))
    other.handle_probe(probe('c', 3))
    assert other.make_initial_membership(9) is None


def test_initial_member_that_lost_its_disk_makes_no_second_cluster() -> None:
    first = bootstrap('a', 11)
    first.handle_probe(probe('b', 2, in_cluster=True))
    first.handle_probe(probe('c', 3))
    assert first.make_initial_membership(9) is None
    assert first.awaits_join


def test_initial_membership_with_a_former_identity_is_refused() -> None:
    """Guards against a late membership that lists the lost disk."""
    late = InitialMembership(9, (MemberInfo(2, 'b', 'b:1'),))
    assert not bootstrap('b', 22).accepts(late)
    assert bootstrap('b', 2).accepts(late)


def test_only_an_initial_member_that_missed_the_bootstrap_gets_it() -> None:
    members = (MemberInfo(1, 'a', 'a:1'), MemberInfo(2, 'b', 'b:1'))
    file = MemberFile(1, 9, members)
    missed = make_probe_answer(probe('b', 2), file, 'a', 'a:1')
    assert missed == InitialMembership(9, members)
    fresh = make_probe_answer(probe('b', 22), file, 'a', 'a:1')
    assert isinstance(fresh, Probe)
    assert fresh.in_cluster
