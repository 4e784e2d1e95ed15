"""How first members find each other, and lost disks are told apart."""

from __future__ import annotations

from galenareel._consensus.founding import answer_hail
from galenareel._consensus.founding import Founding
from galenareel._consensus.messages import Foundation
from galenareel._consensus.messages import Hail
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.storage import MemberFile

MEMBERS = {'a': 'a:1', 'b': 'b:1', 'c': 'c:1'}


def founding(name: str, identity: int) -> Founding:
    return Founding(name, MEMBERS, identity=identity, joins=False)


def hail(name: str, identity: int, *, founded: bool = False) -> Hail:
    return Hail(name, MEMBERS[name], identity, founded, False)


def test_founder_waits_for_every_member() -> None:
    founder = founding('a', 1)
    founder.on_hail(hail('b', 2))
    assert founder.compose(9) is None
    founder.on_hail(hail('c', 3))
    foundation = founder.compose(9)
    assert foundation is not None
    assert [one.identity for one in foundation.members] == [1, 2, 3]
    assert founding('c', 3).accepts(foundation)


def test_only_the_first_name_founds() -> None:
    """Guards against two clusters of the same members."""
    other = founding('b', 2)
    other.on_hail(hail('a', 1))
    other.on_hail(hail('c', 3))
    assert other.compose(9) is None


def test_founder_that_lost_its_disk_makes_no_second_cluster() -> None:
    founder = founding('a', 11)
    founder.on_hail(hail('b', 2, founded=True))
    founder.on_hail(hail('c', 3))
    assert founder.compose(9) is None
    assert founder.waits


def test_foundation_with_a_former_identity_is_refused() -> None:
    """Guards against a late foundation that lists the lost disk."""
    late = Foundation(9, (MemberInfo(2, 'b', 'b:1'),))
    assert not founding('b', 22).accepts(late)
    assert founding('b', 2).accepts(late)


def test_only_a_founder_that_missed_the_foundation_gets_it() -> None:
    members = (MemberInfo(1, 'a', 'a:1'), MemberInfo(2, 'b', 'b:1'))
    file = MemberFile(1, 9, members)
    missed = answer_hail(hail('b', 2), file, 'a', 'a:1')
    assert missed == Foundation(9, members)
    fresh = answer_hail(hail('b', 22), file, 'a', 'a:1')
    assert isinstance(fresh, Hail)
    assert fresh.founded
