"""The limits of the HTTP servers of a process follow from its machine.

Guards against servers that together use up the descriptors or the memory of a
machine, and against requests of the largest size that find no room.
"""

from __future__ import annotations

from adapter.limits import count_receive_bytes
from adapter.limits import count_unknown_links
from adapter.limits import make_caller_limits
from adapter.limits import make_control_limits
from adapter.limits import make_metrics_limits
from adapter.limits import make_ready_limits
from adapter.limits import MAX_CALLER_CONNECTIONS
from adapter.limits import MAX_CONFIGURATION_BYTES
from adapter.limits import MAX_HEARTBEAT_BYTES
from adapter.limits import MAX_JOB_BYTES
from adapter.limits import MAX_WAVE_BYTES
from adapter.limits import MB
from adapter.limits import OWN_DESCRIPTORS
from adapter.limits import RESERVED_DESCRIPTORS
from adapter.settings import MachineLimits
import pytest

from galenareel._entry.connections import HEAD_MEMORY_FACTOR
from galenareel._entry.connections import RECV_BYTES
from galenareel._entry.settings import Limits

FRONTS = [
    MachineLimits(memory_mb=300, file_descriptors=4100),
    MachineLimits(memory_mb=160, file_descriptors=4100),
    MachineLimits(memory_mb=160, file_descriptors=500),
    MachineLimits(),
]
CORES = [
    MachineLimits(memory_mb=296, file_descriptors=4096),
    MachineLimits(memory_mb=160, file_descriptors=500),
    MachineLimits(),
]
ALL = FRONTS + CORES


def sum_connections(*limits: Limits) -> int:
    return sum(item.max_connections for item in limits)


@pytest.mark.parametrize('machine', FRONTS, ids=str)
def test_servers_of_a_front_leave_the_descriptors_that_are_reserved(
    machine: MachineLimits,
) -> None:
    used = sum_connections(
        make_caller_limits(machine), make_ready_limits(), make_metrics_limits()
    )
    used += RESERVED_DESCRIPTORS + OWN_DESCRIPTORS
    assert used <= machine.file_descriptors


@pytest.mark.parametrize('machine', CORES, ids=str)
def test_servers_of_a_core_leave_the_descriptors_that_are_reserved(
    machine: MachineLimits,
) -> None:
    used = sum_connections(make_control_limits(machine), make_metrics_limits())
    used += RESERVED_DESCRIPTORS + OWN_DESCRIPTORS
    assert used <= machine.file_descriptors


def test_large_machine_takes_no_more_callers() -> None:
    machine = MachineLimits(memory_mb=64_000, file_descriptors=1_000_000)
    limits = make_caller_limits(machine)
    assert limits.max_connections == MAX_CALLER_CONNECTIONS


def test_callers_behind_one_balancer_share_its_address() -> None:
    """The limit for an address would be one for all callers."""
    for machine in FRONTS:
        limits = make_caller_limits(machine)
        assert limits.max_connections_per_address > limits.max_connections


@pytest.mark.parametrize('descriptors', [1, 200, 350, 369])
def test_each_server_accepts_a_connection_on_the_smallest_machine(
    descriptors: int,
) -> None:
    machine = MachineLimits(memory_mb=1, file_descriptors=descriptors)
    assert make_caller_limits(machine).max_connections == 1
    assert make_control_limits(machine).max_connections >= 1


@pytest.mark.parametrize('machine', ALL, ids=str)
def test_largest_request_fits_in_the_budget(machine: MachineLimits) -> None:
    """Also beside the head, and the start of the next request."""
    largest = max(
        MAX_JOB_BYTES,
        MAX_CONFIGURATION_BYTES,
        MAX_WAVE_BYTES,
        MAX_HEARTBEAT_BYTES,
    )
    head = make_caller_limits(machine).max_header_bytes * HEAD_MEMORY_FACTOR
    budget = count_receive_bytes(machine)
    assert largest + head + 2 * RECV_BYTES <= budget


@pytest.mark.parametrize('machine', ALL, ids=str)
def test_budget_leaves_most_of_the_memory(machine: MachineLimits) -> None:
    """A request takes several times its size while it is decoded."""
    assert count_receive_bytes(machine) * 8 <= machine.memory_mb * MB


@pytest.mark.parametrize('descriptors', [1, 200, 369])
def test_links_can_begin_on_the_smallest_machine(descriptors: int) -> None:
    """Guards against a machine that closes each link before its hello."""
    machine = MachineLimits(memory_mb=1, file_descriptors=descriptors)
    assert count_unknown_links(machine) >= 8
