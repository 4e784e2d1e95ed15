"""Losses that a simulated group has to bear, in any order.

``python -m bench.losses --help`` runs many seeds. Each one is a series of
steps: losses of disks and of whole machines, and disturbances that lose
nothing. With ``--power``, each series ends with the loss of as many disks as
the group has to bear, while all other nodes lose power. A disk or machine is
lost only while no more machines are affected than the group has to bear, so
each series, and each part of it, is one after which the group must recover by
itself.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from multiprocessing import Pool
from random import Random

from bench.group import Group
from bench.history import Violation
from bench.node import Node
from bench.node import Registers
from bench.node import SYNC_S
from galenareel._common.sentinels import Refused
from galenareel._consensus.lost_voters import count_min_voters
from galenareel._consensus.lost_voters import find_lost_voter
from galenareel._consensus.lost_voters import is_surplus
from galenareel._consensus.membership import ChangeResult
from galenareel._consensus.membership import PASSING_REASONS
from galenareel._consensus.records import MemberInfo
from galenareel._jobs.joining import CHECK_INTERVAL_S
from galenareel._jobs.joining import JOIN_INTERVAL_S
from galenareel._jobs.joining import LEAVE_RETRY_S
from galenareel._jobs.joining import LEAVE_TIMEOUT_S
from galenareel._jobs.joining import RETURN_AFTER_S
from galenareel._jobs.joining import RETURN_INTERVAL_S

CATCH_UP_S = 4.0  # a machine counts as lost for this long after its return
MAX_STEPS = 14
RECOVERY_S = 15.0
REQUEST_S = 0.01
HANDOVER_S = 0.5  # from the signal to stop until the leader is told
MAX_MACHINES = 8
CHANGE_WAIT_S = 3.0  # time to wait for the next change of the membership
MAX_SYNC_S = 0.15


@dataclass(frozen=True, slots=True)
class Step:
    """One loss or disturbance.

    :param target: selects the machine, between 0 and 1; see ``_select``.
    :param span: how long it takes, between 0 (shortest) and 1 (longest).
    :param wait_s: time until the next step.
    """

    kind: str
    target: float
    span: float
    wait_s: float


@dataclass(slots=True)
class Machine:
    """A place in the group, whose computer may be replaced.

    :param affected_until: when it counts as sound again.
    :param replaced_until: when the one that it replaces stops to count; it
        is not lost itself before that.
    """

    name: str
    affected_until: float = 0.0
    replaced_until: float = 0.0


class LossyGroup:
    """A group whose members join and leave by the rules of the joiner.

    :param losses: number of disks that may be lost at once.
    :param calm_s: time for which a machine counts as lost after its return.
    :ivar _leaving: machines of the members that are stopped as planned, by
        the names of these members.
    :ivar _lost: names of the nodes whose disks were lost since all machines
        were sound.
    :ivar _disturbed_until: when all machines are sound again, except for
        planned replacements.
    :ivar _dark_until: the same for losses of power, during which no planned
        replacement goes on.
    """

    def __init__(
        self, seed: int, *, size: int, losses: int, calm_s: float = CATCH_UP_S
    ) -> None:
        self.losses = losses
        self.min_voters = count_min_voters(losses)
        self.group = Group(
            seed,
            size=size,
            machine=SmallRegisters,
            enough_voters=self.min_voters,
        )
        self.machines = [Machine(name) for name in self.group.nodes]
        self._calm_s = calm_s
        self._cuts: list[set[tuple[str, str]]] = []
        self._gone: list[Machine] = []
        self._leaving: dict[str, Machine] = {}
        self._lost: set[str] = set()
        self._has_overlap = False
        self._busy_until = 0.0
        self._disturbed_until = 0.0
        self._dark_until = 0.0
        for node in self.group.nodes.values():
            self._run_joiner(node)

    def run(self, steps: Sequence[Step]) -> None:
        """Take the steps, then let all disturbances end."""
        self.group.run(4.0)
        for step in steps:
            (RULES | POWER_RULES)[step.kind](self, step)
            self.group.run(step.wait_s)
        self.group.run(max(0.0, self._busy_until - self.group.now))

    def check(self) -> str:
        """Return what is wrong after the last disturbance, or nothing.

        :raises Violation: if an acknowledged entry was lost.
        """
        group = self.group
        if not group.run_until(self._is_sound, limit_s=RECOVERY_S):
            return self._describe()
        leader = group.find_leader()
        assert leader is not None, 'a sound group has a leader'
        known = max(group.history.acknowledged, default=0)
        if not group.run_until(
            lambda: max(group.history.acknowledged, default=0) > known,
            limit_s=2.0,
        ):
            return 'no proposal is accepted'
        group.callers_active = False
        if not group.run_until(group.has_converged, limit_s=RECOVERY_S):
            return 'members differ'
        group.check()
        return ''

    def _is_sound(self) -> bool:
        return not self._describe()

    def _describe(self) -> str:
        leader = self.group.find_leader()
        if leader is None or leader.member is None:
            return 'no leader'
        st = leader.member.raft.state
        live = {
            self.group.nodes[machine.name].identity
            for machine in self.machines
        }
        members = {member.identity for member in st.membership.members}
        if not live <= members:
            return 'not all are members'
        voters = len(st.membership.voter_ids() & live)
        if voters < min(self.min_voters, len(live)):
            return 'too few voters'
        if voters - st.membership.quorum_size() < self.losses:
            return 'too few losses are borne'
        return ''

    # Steps

    def replace(self, step: Step) -> None:
        """Lose a machine for good; another one takes its place."""
        machine = self._find_target_of_loss(step)
        if machine is not None:
            self._end_for_good(self.group.nodes[machine.name])
            self._start_successor(machine, 0.2 + 2 * step.span)
            self._lost.add(machine.name)

    def lose_disk(self, step: Step) -> None:
        machine = self._find_target_of_loss(step)
        if machine is not None:
            node = self.group.nodes[machine.name]
            node.frozen_until = 0.0
            node.lose_disk()
            down_s = 1.0 + step.span
            self._affect([machine], down_s)
            self._lost.add(machine.name)
            self.group.after(down_s, lambda: self._start(node))

    def replace_as_planned(self, step: Step) -> None:
        """Start the successor; later stop the machine that it replaces."""
        machine = self._find_target_of_loss(step)
        if machine is None:
            return
        former = self.group.nodes[machine.name]
        self._start_successor(machine, 0.0)
        machine.replaced_until = inf
        stays_s = 1.0 + 3 * step.span
        self._hold(stays_s + HANDOVER_S + LEAVE_TIMEOUT_S)
        self.group.after(stays_s, lambda: self._leave(former, machine))

    def lose_learner(self, step: Step) -> None:
        """Add a machine, and lose it for good."""
        if not self._may_lose(None):
            return
        machine = Machine(self._name_successor())
        self.machines.append(machine)
        node = self.group.add_node(machine.name)
        self._start(node)
        life_s = 0.2 + 3 * step.span
        self._affect([machine], life_s)
        self._lost.add(machine.name)
        machine.replaced_until = inf

        def end() -> None:
            self._end_for_good(node)
            self.machines.remove(machine)
            machine.replaced_until = 0.0
            self._gone.append(machine)

        self.group.after(life_s, end)

    def add(self, step: Step) -> None:
        """Add a machine that stays."""
        if len(self.machines) < MAX_MACHINES:
            machine = Machine(self._name_successor())
            self.machines.append(machine)
            self._start_later(self.group.add_node(machine.name), step.span)

    def slow_disks(self, step: Step) -> None:
        for node in self.group.nodes.values():
            node.sync_s = SYNC_S + MAX_SYNC_S * step.span * step.target

    def lose_power(self, step: Step) -> None:
        """Lose as many disks as is borne; all other nodes lose power.

        Frozen members and those that are cut off keep their disks, so they do
        not count as lost. A member that is stopping may stay off.
        """
        if step.span < 0.7:
            self._run_until_change()
        nodes = [n for n in self.group.nodes.values() if not n.retired]
        lost = self._select_disks(step, nodes)
        longest_s = 0.4 + 2 * step.span
        self._affect(self.machines, longest_s)
        self._dark_until = self._busy_until + self._calm_s
        keeps_unsynced = self.group.rng.random() < 0.5
        for node in nodes:
            node.frozen_until = 0.0
            if node.name in self._leaving:
                self._lost.add(node.name)
                if self.group.rng.random() < 0.5:
                    self._end_for_good(node)
                    self._leaving[node.name].replaced_until = self.group.now
                    continue
            node.crash_while_storing(keeps_unsynced=keeps_unsynced)
            if node in lost:
                node.lose_disk()
                self._lost.add(node.name)
            down_s = self.group.rng.uniform(0.2, longest_s)
            self._start_later(node, down_s)

    def _run_until_change(self) -> None:
        """Run until a membership is new to a node, and a little longer."""
        known = self._find_last_change()
        ends_at = self.group.now + CHANGE_WAIT_S
        while self.group.now < ends_at and self._find_last_change() <= known:
            self.group.run(0.001)
        self.group.run(self.group.rng.choice((0.0, 0.003, 0.01, 0.05, 0.2)))

    def _find_last_change(self) -> int:
        return max(
            (
                node.member.raft.state.membership_history[-1][0]
                for node in self.group.nodes.values()
                if node.member is not None
            ),
            default=0,
        )

    def _select_disks(self, step: Step, nodes: Sequence[Node]) -> list[Node]:
        """Return the nodes whose disks are lost with the power of all."""
        if not self._list_affected():
            self._lost.clear()
        count = self.losses - len(self._lost) - len(self._list_leaving())
        found = [
            node
            for node in nodes
            if node.name not in {*self._lost, *self._leaving} and node.identity
        ]
        self.group.rng.shuffle(found)
        leader = self._select(step).name
        found.sort(key=lambda node: node.name != leader)
        return found[: max(0, count)]

    def _list_leaving(self) -> list[Node]:
        return [
            node
            for node in self.group.nodes.values()
            if node.name in self._leaving and not node.retired
        ]

    def kill(self, step: Step) -> None:
        self._kill([self._select(step)], 0.5 + step.span / 2)

    def kill_all(self, step: Step) -> None:
        self._kill(self.machines, 0.5 + step.span / 2)

    def freeze(self, step: Step) -> None:
        machine = self._select(step)
        node = self.group.nodes[machine.name]
        frozen_s = 0.3 + 4 * step.span
        node.frozen_until = max(node.frozen_until, self.group.now + frozen_s)
        self._affect([machine], frozen_s)

    def cut(self, step: Step) -> None:
        """Cut a member off, in one direction or in both."""
        machine = self._select(step)
        others = [name for name in self.group.nodes if name != machine.name]
        links: set[tuple[str, str]] = set()
        way = self.group.rng.choice(('in', 'out', 'both'))
        if way != 'in':
            links.update((machine.name, name) for name in others)
        if way != 'out':
            links.update((name, machine.name) for name in others)
        self._cut(links, [machine], 0.5 + 5 * step.span)

    def split(self, step: Step) -> None:
        """Split the group into two halves."""
        names = [machine.name for machine in self.machines]
        self.group.rng.shuffle(names)
        half = set(names[: len(names) // 2])
        links = {
            (one, other)
            for one in names
            for other in names
            if (one in half) is not (other in half)
        }
        self._cut(links, self.machines, 0.5 + 5 * step.span)

    def change_leaders(self, step: Step) -> None:
        """Hand the leadership over again and again, each time within 2 s."""
        for _ in range(2 + int(4 * step.span)):
            leader = self.group.find_leader()
            if leader is not None:
                leader.transfer_leadership()
            self.group.run(self.group.rng.uniform(0.6, 1.9))

    # Parts of steps

    def _select(self, step: Step) -> Machine:
        """Return the leader's machine, or one by its number."""
        leader = self.group.find_leader()
        if leader is not None and step.target < 0.4:
            for machine in self.machines:
                if machine.name == leader.name:
                    return machine
        number = int(step.target * 1000) % len(self.machines)
        return self.machines[number]

    def _find_target_of_loss(self, step: Step) -> Machine | None:
        """Return the machine to lose, once the group has to bear that."""
        for _ in range(200):
            machine = self._select(step)
            node = self.group.nodes[machine.name]
            if (
                node.member is not None
                and machine.replaced_until <= self.group.now
                and self._may_lose(machine)
            ):
                return machine
            self.group.run(0.1)
        return None

    def _may_lose(self, machine: Machine | None) -> bool:
        """Return whether the group has to bear one more loss.

        After more machines were affected at once, it is only once all are
        sound again.
        """
        affected = self._list_affected()
        if self._has_overlap and affected:
            return False
        self._has_overlap = False
        others = [other for other in affected if other is not machine]
        return len(others) < self.losses

    def _list_affected(self) -> list[Machine]:
        now = self.group.now
        return [
            machine
            for machine in (*self.machines, *self._gone)
            if max(machine.affected_until, machine.replaced_until) > now
        ]

    def _affect(self, machines: Sequence[Machine], duration_s: float) -> None:
        if not self._list_affected():
            self._lost.clear()
        ends_at = self.group.now + duration_s
        self._hold(duration_s)
        if duration_s:
            self._disturbed_until = max(
                self._disturbed_until, ends_at + self._calm_s
            )
        for machine in machines:
            machine.affected_until = max(
                machine.affected_until, ends_at + self._calm_s
            )
        # A machine in its time to catch up counts beside the replaced one.
        replaced = [
            machine
            for machine in machines
            if machine.replaced_until > self.group.now
        ]
        if len(self._list_affected()) + len(replaced) > self.losses:
            self._has_overlap = True

    def _hold(self, duration_s: float) -> None:
        self._busy_until = max(self._busy_until, self.group.now + duration_s)

    def _cut(
        self,
        links: set[tuple[str, str]],
        machines: Sequence[Machine],
        duration_s: float,
    ) -> None:
        def end() -> None:
            self._cuts.remove(links)
            self._block_links()

        self._cuts.append(links)
        self._block_links()
        self._affect(machines, duration_s)
        self.group.after(duration_s, end)

    def _block_links(self) -> None:
        self.group.network.blocked_links = set().union(*self._cuts)

    def _kill(self, machines: Sequence[Machine], down_s: float) -> None:
        nodes = [
            node
            for machine in machines
            if (node := self.group.nodes[machine.name]).member is not None
        ]
        for node in nodes:
            self._end(node)
        self._affect(machines, down_s)
        for node in nodes:
            self._start_later(node, down_s)

    def _start_later(self, node: Node, delay_s: float) -> None:
        self.group.after(delay_s, lambda: self._start(node))

    def _start(self, node: Node) -> None:
        if node.retired or node.member is not None:
            return
        node.start()
        self._run_joiner(node)

    def _end(self, node: Node) -> None:
        """End a process; the others learn it from their links to it."""
        for other in self.group.nodes.values():
            leader = other.get_leader_term()
            if other is not node and leader[0] == node.identity:
                other.learn_exit(leader, self.group.rng.uniform(0.0, 0.05))
        node.frozen_until = 0.0
        node.crash()

    def _end_for_good(self, node: Node) -> None:
        node.retired = True
        node.frozen_until = 0.0
        node.crash()

    def _name_successor(self) -> str:
        return f'n{len(self.group.nodes)}'

    def _start_successor(self, machine: Machine, delay_s: float) -> None:
        machine.name = self._name_successor()
        node = self.group.add_node(machine.name)
        self._affect([machine], delay_s)
        machine.replaced_until = machine.affected_until
        self.group.after(delay_s, lambda: self._start(node))

    def _leave(self, node: Node, machine: Machine) -> None:
        """Stop a process for good, as at SIGTERM."""
        wait_s = self._dark_until - self.group.now
        if wait_s > 0:
            self._hold(wait_s + HANDOVER_S + LEAVE_TIMEOUT_S)
            self.group.after(wait_s, lambda: self._leave(node, machine))
            return
        node.transfer_leadership()
        self._leaving[node.name] = machine

        def ask() -> None:
            leader = self._find_known_leader(node)
            if leader is node:
                node.transfer_leadership()
            elif leader is not None and self._is_linked(node, leader):
                leader.after(REQUEST_S, lambda: answer(leader))
            node.after(LEAVE_RETRY_S, ask)

        def answer(leader: Node) -> None:
            if node.member is not None and self._remove_leaving(leader, node):
                node.after(REQUEST_S, end)

        def end() -> None:
            if node.retired:
                return
            self._end(node)
            node.retired = True
            machine.replaced_until = self.group.now
            if self.group.now < self._disturbed_until:
                # It may have found no successor.
                self._lost.add(node.name)

        node.after(HANDOVER_S, ask)
        self.group.after(HANDOVER_S + LEAVE_TIMEOUT_S, end)

    def _remove_leaving(self, leader: Node, node: Node) -> bool:
        """Answer a member that stops; return whether it need not ask again."""
        if leader.member is None or self._is_changing_members(leader):
            return False
        members = leader.member.raft.state.membership.members
        voters = [member.name for member in members if member.voter]
        if node.name not in voters:
            return True
        result: ChangeResult
        if is_surplus(len(voters), leaving=1, min_voters=self.min_voters):
            result = leader.change(remove=node.name)
        else:
            result = leader.hand_over_vote(node.name)
        return isinstance(result, Refused) and (
            result.reason not in PASSING_REASONS
        )

    def _is_changing_members(self, leader: Node) -> bool:
        assert leader.member is not None, 'a leader runs'
        st = leader.member.raft.state
        return st.membership_history[-1][0] > st.commit_index

    # The joiner of each member

    def _run_joiner(self, node: Node) -> None:
        if node.member is None or node.name in self._leaving:
            return
        st = node.member.raft.state
        now = node.clock.monotonic()
        wait_s = CHECK_INTERVAL_S
        if st.membership.find(node.identity) is None:
            self._ask_members(node, is_member=False)
            wait_s = JOIN_INTERVAL_S
        elif st.is_leader():
            lost = find_lost_voter(
                st.membership.members,
                st.list_reply_times(),
                now,
                min_voters=self.min_voters,
            )
            if lost is not None:
                node.change(remove=lost)
        elif now - st.last_leader_contact > RETURN_AFTER_S:
            self._ask_members(node, is_member=True)
            wait_s += RETURN_INTERVAL_S
        node.after(wait_s, lambda: self._run_joiner(node))

    def _ask_members(self, node: Node, *, is_member: bool) -> None:
        """Ask each leader that a reachable member knows to add a node."""
        leaders = {
            leader.name: leader
            for other in self.group.nodes.values()
            if self._is_linked(node, other)
            and (leader := self._find_known_leader(other)) is not None
            and self._is_linked(node, leader)
        }
        for leader in leaders.values():
            leader.after(
                REQUEST_S, self._make_request(leader, node, is_member)
            )

    def _make_request(
        self, leader: Node, node: Node, is_member: bool
    ) -> Callable[[], None]:
        info = MemberInfo(node.identity, node.name, node.name, voter=False)

        def add() -> None:
            if leader.member is None or node.identity != info.identity:
                return
            membership = leader.member.raft.state.membership
            is_listed = membership.find(info.identity) is not None
            if not (is_listed and is_member):
                leader.change(add=info)

        return add

    def _find_known_leader(self, node: Node) -> Node | None:
        name = self.group.names.get(node.get_leader_term()[0])
        return self.group.nodes[name] if name else None

    def _is_linked(self, one: Node, other: Node) -> bool:
        blocked = self.group.network.blocked_links
        return (
            one is not other
            and other.member is not None
            and self.group.now >= other.frozen_until
            and (one.name, other.name) not in blocked
            and (other.name, one.name) not in blocked
        )


class SmallRegisters(Registers):
    """Registers whose snapshots fit into one chunk."""

    padding_bytes = 0


RULES: dict[str, Callable[[LossyGroup, Step], None]] = {
    'replace': LossyGroup.replace,
    'lose disk': LossyGroup.lose_disk,
    'replace as planned': LossyGroup.replace_as_planned,
    'lose learner': LossyGroup.lose_learner,
    'kill': LossyGroup.kill,
    'kill all': LossyGroup.kill_all,
    'freeze': LossyGroup.freeze,
    'cut': LossyGroup.cut,
    'split': LossyGroup.split,
    'change leaders': LossyGroup.change_leaders,
}
WEIGHTS = (4, 4, 2, 1, 2, 1, 2, 2, 1, 2)
POWER_RULES: dict[str, Callable[[LossyGroup, Step], None]] = {
    'add': LossyGroup.add,
    'slow disks': LossyGroup.slow_disks,
    'lose power': LossyGroup.lose_power,
}


def generate_steps(seed: int, *, power: bool = False) -> list[Step]:
    """Return a series of steps.

    :param power: let all machines lose power at the end, and maybe before.
    """
    rng = Random(seed)
    kinds = rng.choices(tuple(RULES), WEIGHTS, k=rng.randint(2, MAX_STEPS))
    if power:
        kinds = rng.choices(kinds, k=rng.randint(1, 4))
        kinds += rng.choices(tuple(POWER_RULES), k=rng.randint(0, 4))
        rng.shuffle(kinds)
        kinds.append('lose power')
    return [
        Step(
            kind,
            round(rng.random(), 3),
            round(rng.random(), 2),
            rng.choice((0.05, 0.3, 1.0, 2.0, 4.0)),
        )
        for kind in kinds
    ]


def run_steps(
    steps: Sequence[Step],
    seed: int,
    *,
    size: int,
    losses: int,
    calm_s: float = CATCH_UP_S,
) -> str:
    """Return what is wrong after the steps, or nothing."""
    lossy = LossyGroup(seed, size=size, losses=losses, calm_s=calm_s)
    try:
        lossy.run(steps)
        return lossy.check()
    except Violation as exc:
        return f'violation: {exc}'


def shrink(
    steps: Sequence[Step], is_wrong: Callable[[Sequence[Step]], bool]
) -> list[Step]:
    """Return a series without steps that can be left out."""
    found = list(steps)
    position = 0
    while position < len(found):
        shorter = [*found[:position], *found[position + 1 :]]
        if is_wrong(shorter):
            found = shorter
            position = 0
        else:
            position += 1
    return found


@dataclass(frozen=True, slots=True)
class _Run:
    size: int
    losses: int
    calm_s: float
    power: bool

    def __call__(self, seed: int) -> tuple[int, str]:
        return seed, run_steps(
            generate_steps(seed, power=self.power),
            seed,
            size=self.size,
            losses=self.losses,
            calm_s=self.calm_s,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--size', type=int, default=3)
    parser.add_argument('--losses', type=int, default=1)
    parser.add_argument('--calm-s', type=float, default=CATCH_UP_S)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--count', type=int, default=100)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--power', action='store_true')
    parser.add_argument('--shrink', action='store_true')
    args = parser.parse_args()
    run = _Run(args.size, args.losses, args.calm_s, args.power)
    problems: dict[str, int] = {}
    with Pool(args.jobs) as pool:
        seeds = range(args.first, args.first + args.count)
        for seed, problem in pool.imap(run, seeds, chunksize=4):
            if not problem:
                continue
            kind = problem.partition(':')[0]
            problems[kind] = problems.get(kind, 0) + 1
            print(f'seed {seed}: {problem}', flush=True)
            if args.shrink:
                steps = shrink(
                    generate_steps(seed, power=args.power),
                    lambda part: (
                        run_steps(
                            part,
                            seed,  # noqa: B023
                            size=args.size,
                            losses=args.losses,
                            calm_s=args.calm_s,
                        )
                        == problem
                    ),  # noqa: B023
                )
                for step in steps:
                    print(f'    {step}', flush=True)
    print(f'{args.count} seeds: {problems or "nothing is wrong"}')


if __name__ == '__main__':
    main()
