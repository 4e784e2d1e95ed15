"""Measure the cost of single mechanisms at a given size.

:mod:`bench.capacity` calls the public measurements by name, each in a new
process, so each builds the data that it needs. CPU is process time; memory is
the growth of resident memory.
"""

from __future__ import annotations

from collections.abc import Callable
import gc
from pathlib import Path
from random import Random
import tempfile
import time

import msgspec

from galenareel._common.messages import EntryReport
from galenareel._common.messages import InstanceLoad
from galenareel._common.messages import SessionOpened
from galenareel._common.messages import ViewDelta
from galenareel._common.rows import EntryRow
from galenareel._common.rows import InstanceRow
from galenareel._consensus.disk import FolderDisk
from galenareel._consensus.effects import SaveEntries
from galenareel._consensus.records import Entry
from galenareel._consensus.records import EntryKind
from galenareel._consensus.storage import Storage
from galenareel._decisions.tables import Instance
from galenareel._decisions.tables import Job
from galenareel._decisions.tables import Lease
from galenareel._decisions.tables import Load
from galenareel._decisions.tables import Pool
from galenareel._decisions.tables import Rack
from galenareel._decisions.tables import Service
from galenareel._decisions.tables import Tables
from galenareel._decisions.tables import Team
from galenareel._decisions.tables import Zone
from galenareel._decisions.ticking import tick
from galenareel._document.model import Environment
from galenareel._document.model import Pool as DeclaredPool
from galenareel._document.model import Service as DeclaredService
from galenareel._entry.view import ViewStore
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import BeginMove
from galenareel._state.commands import ClaimKey
from galenareel._state.commands import encode
from galenareel._state.commands import PromoteDocument
from galenareel._state.commands import RegisterEntry
from galenareel._state.commands import RegisterInstance
from galenareel._state.commands import SubmitDocument
from galenareel._state.state import State

ZONES = 13
INSTANCES_PER_RACK = 4
TARGET_POOLS = 82
TARGET_TEAMS = 490
PAGE_BYTES = 4096


def read_resident_bytes() -> int:
    """Collect garbage and return the resident memory of this process."""
    gc.collect()
    fields = Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * PAGE_BYTES


def make_instance_name(number: int) -> str:
    return f'zone-{number % ZONES}/worker-{number}'


def choose_pool(number: int, pools: int) -> str:
    return f'pool-{number // ZONES % pools}'


def make_environment(pools: int) -> Environment:
    names = [f'pool-{number}' for number in range(pools)]
    return Environment(
        environment='capacity',
        version=1,
        replaces=0,
        zones=tuple(f'zone-{number}' for number in range(ZONES)),
        pools=tuple(
            DeclaredPool(name=name, min_available=1, spare=name == names[0])
            for name in names
        ),
        services=tuple(
            DeclaredService(name=name, pool=name, path=f'/{name}/')
            for name in names
        ),
    )


def make_registration(number: int, pools: int) -> RegisterInstance:
    return RegisterInstance(
        instance=make_instance_name(number),
        address=f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080',
        zone=f'zone-{number % ZONES}',
        rack=f'rack-{number // (ZONES * INSTANCES_PER_RACK)}',
        service=choose_pool(number, pools),
        incarnation=f'{number:016x}',
    )


def build_state(instances: int, pools: int) -> State:
    """Build a state with a document in force and serving instances."""
    state = State()
    declared = make_environment(pools)
    commands: list[AnyCommand] = [
        SubmitDocument(
            now=0.0,
            version=1,
            replaces=0,
            digest='d',
            text='x' * 100 * pools,
            environment=declared,
        ),
        PromoteDocument(now=0.0, version=1, digest='d'),
        *(
            RegisterEntry(
                entry=f'zone-{number}-entry',
                zone=f'zone-{number}',
                frames='10.0.0.1:7000',
                incarnation='1',
            )
            for number in range(ZONES)
        ),
    ]
    commands += [
        make_registration(number, pools) for number in range(instances)
    ]
    for index, command in enumerate(commands, start=1):
        state.apply_command(index, command)
    return state


def measure_call_us(call: Callable[[int], object], calls: int) -> float:
    """Return the mean CPU microseconds of a call.

    :param call: receives the number of the call, from 0.
    """
    started_at = time.process_time()
    for number in range(calls):
        call(number)
    return (time.process_time() - started_at) / calls * 1e6


def state_memory(instances: int) -> float:
    """Return the resident bytes of the replicated state at one member."""
    before = read_resident_bytes()
    state = build_state(instances, TARGET_POOLS)
    after = read_resident_bytes()
    assert len(state.instances) == instances
    return float(after - before)


def snapshot_bytes(instances: int) -> float:
    """Return the size of an encoded snapshot."""
    return float(len(build_state(instances, TARGET_POOLS).snapshot()))


def apply_move_us(instances: int) -> float:
    """Return the CPU microseconds to decode and apply a ``BeginMove``."""
    state = build_state(instances, TARGET_POOLS)
    commands = [
        encode(
            BeginMove(
                instance=make_instance_name(number),
                epoch=1,
                target='pool-1',
                reason='measured',
            )
        )
        for number in range(200)
    ]
    index = state.index
    return measure_call_us(
        lambda number: state.apply(index + 1 + number, commands[number]), 200
    )


def apply_claim_us(claims: int) -> float:
    """Return the CPU microseconds to apply a claim when others are held.

    :param claims: number of the others.
    """
    state = State()

    def make_claim(number: int) -> bytes:
        return encode(
            ClaimKey(
                now=1.0,
                key=f'key-{number}',
                caller='desk',
                digest='d',
                holder='entry/1',
            )
        )

    for number in range(claims):
        state.apply(number + 1, make_claim(number))
    commands = [make_claim(claims + number) for number in range(500)]
    return measure_call_us(
        lambda number: state.apply(claims + number + 1, commands[number]), 500
    )


def make_row(number: int) -> InstanceRow:
    registration = make_registration(number, TARGET_POOLS)
    return InstanceRow(
        instance=registration.instance,
        address=registration.address,
        zone=registration.zone,
        rack=registration.rack,
        pool=registration.service,
        home=f'{registration.zone}-entry',
        home_epoch=1,
        incarnation=registration.incarnation,
        reason='announced itself',
    )


def delta_bytes(rows: int) -> float:
    """Return the encoded size of a delta with ``rows`` changed instances."""
    delta = ViewDelta(
        previous=1,
        index=2,
        instances=tuple(make_row(number) for number in range(rows)),
    )
    return float(len(msgspec.msgpack.encode(delta)))


def delta_apply_us(instances: int) -> float:
    """Return the CPU microseconds at an entry to apply a delta of one row."""
    view = build_view(instances)
    deltas = [
        msgspec.msgpack.encode(
            ViewDelta(
                previous=number + 1,
                index=number + 2,
                instances=(make_row(number),),
            )
        )
        for number in range(200)
    ]
    decoder = msgspec.msgpack.Decoder(ViewDelta)
    return measure_call_us(
        lambda number: view.apply_delta(decoder.decode(deltas[number])), 200
    )


def delta_make_us(instances: int) -> float:
    """Return the CPU microseconds at the leader to make a delta of one row."""
    state = build_state(instances, TARGET_POOLS)
    index = state.index
    state.apply_command(index + 1, make_registration(instances, TARGET_POOLS))
    return measure_call_us(
        lambda _: msgspec.msgpack.encode(state.collect_changes_since(index)),
        200,
    )


def build_view(instances: int) -> ViewStore:
    """Build the view of an entry from an encoded snapshot."""
    view = ViewStore()
    # Encoded and decoded as on the wire, since rows would share strings
    # otherwise and take less memory.
    data = msgspec.msgpack.encode(
        SessionOpened(
            index=1,
            lease_s=3.0,
            instances=tuple(make_row(number) for number in range(instances)),
            entries=(
                EntryRow(
                    entry='e', zone='z', frames='10.0.0.1:1', incarnation='1'
                ),
            ),
        )
    )
    view.load_snapshot(msgspec.msgpack.decode(data, type=SessionOpened))
    return view


def view_memory(instances: int) -> float:
    """Return the resident bytes of the view at one entry."""
    before = read_resident_bytes()
    view = build_view(instances)
    after = read_resident_bytes()
    assert len(view.instances) == instances
    return float(after - before)


def report_bytes(homes: int) -> float:
    """Return the encoded size of a report with ``homes`` instances."""
    report = EntryReport(
        entry='zone-1-entry',
        incarnation='0123456789abcdef',
        index=100000,
        instances=tuple(
            InstanceLoad(
                instance=make_instance_name(number),
                in_use=4,
                work_left_s=0.25,
                silent_s=0.5,
                finished=20,
            )
            for number in range(homes)
        ),
    )
    return float(len(msgspec.msgpack.encode(report)))


def log_sync_ms(batch: int) -> float:
    """Return the wall milliseconds to store and sync a batch of records."""
    with tempfile.TemporaryDirectory() as folder:
        storage, write = open_log(folder)
        for _ in range(5):
            write(batch)
        started_at = time.perf_counter()
        for _ in range(30):
            write(batch)
        wall_s = time.perf_counter() - started_at
        storage.close()
    return wall_s / 30 * 1e3


def log_cpu_us(batch: int) -> float:
    """Return the CPU microseconds to store and sync a batch of records."""
    with tempfile.TemporaryDirectory() as folder:
        storage, write = open_log(folder)
        cost_us = measure_call_us(lambda _: write(batch), 100)
        storage.close()
    return cost_us


def log_bytes(records: int) -> float:
    """Return the bytes that records of moves take on disk."""
    with tempfile.TemporaryDirectory() as folder:
        storage, write = open_log(folder)
        write(records)
        storage.close()
        return float(
            sum(file.stat().st_size for file in Path(folder).iterdir())
        )


def open_log(folder: str) -> tuple[FolderDisk, Callable[[int], None]]:
    """Open a log; return its disk and a function that writes records."""
    disk = FolderDisk(folder)
    storage = Storage(disk)
    storage.open(1)
    data = encode(
        BeginMove(
            instance=make_instance_name(12345),
            epoch=17,
            target='pool-17',
            reason='pool-17 wants 2 more: peak seen 0.8 s ago',
        )
    )
    last_index = [0]

    def write(count: int) -> None:
        first = last_index[0] + 1
        last_index[0] += count
        entries = tuple(
            Entry(index, 1, EntryKind.COMMAND, data)
            for index in range(first, first + count)
        )
        storage.write([SaveEntries(entries)])

    return disk, write


def build_tables(instances: int, pools: int, jobs: int = 0) -> Tables:
    """Build decision tables with load in every pool.

    Every second job has a lease, if there are instances.
    """
    rng = Random(1)
    tables = Tables()
    for number in range(ZONES):
        zone = f'zone-{number}'
        tables.zones[zone] = Zone(name=zone)
    for number in range(pools):
        name = f'pool-{number}'
        load = Load(arrival_rate=rng.uniform(0, 40), queued=rng.randrange(20))
        tables.pools[name] = Pool(
            name=name, min_available=1, spare=number == 0, load=load
        )
        tables.services[name] = Service(name=name, pool=name)
    for number in range(TARGET_TEAMS):
        tables.teams[f'team-{number}'] = Team(name=f'team-{number}', slots=64)
    for number in range(instances):
        add_instance(tables, number, pools, rng)
    for number in range(jobs):
        add_job(tables, number, instances, pools)
    return tables


def add_instance(tables: Tables, number: int, pools: int, rng: Random) -> None:
    rack = f'rack-{number // (ZONES * INSTANCES_PER_RACK)}-{number % ZONES}'
    zone = f'zone-{number % ZONES}'
    tables.racks.setdefault(rack, Rack(name=rack, zone=zone))
    tables.instances[make_instance_name(number)] = Instance(
        name=make_instance_name(number),
        zone=zone,
        rack=rack,
        pool=choose_pool(number, pools),
        urgent_in_use=rng.randrange(9),
        work_left_s=rng.uniform(0, 2),
        finished=10,
    )


def add_job(tables: Tables, number: int, instances: int, pools: int) -> None:
    name = f'job-{number}'
    tables.jobs[name] = Job(
        name=name,
        service=choose_pool(number, pools),
        team=f'team-{number % TARGET_TEAMS}',
    )
    if number % 2 and instances:
        instance = make_instance_name(number % instances)
        tables.leases[name] = Lease(job=name, instance=instance, since=0.0)


def tick_ms(instances: int, pools: int = TARGET_POOLS) -> float:
    """Return the mean CPU milliseconds of decision ticks 2 to 6."""
    tables = build_tables(instances, pools)
    rng = Random(1)
    tick(tables, now=0.0, rng=rng)
    return (
        measure_call_us(
            lambda number: run_tick(tables, 0.5 * (number + 1), rng), 5
        )
        / 1e3
    )


def run_tick(tables: Tables, now: float, rng: Random) -> None:
    """Run one tick after every pool has reported its load."""
    for pool in tables.pools.values():
        pool.load.reported_at = now
    tick(tables, now=now, rng=rng)


def tick_pools_ms(pools: int) -> float:
    """Return ``tick_ms`` of 4000 instances in ``pools`` pools."""
    return tick_ms(4000, pools)


def tables_memory(instances: int) -> float:
    """Return the resident bytes of the decision tables at the leader."""
    before = read_resident_bytes()
    tables = build_tables(instances, TARGET_POOLS)
    after = read_resident_bytes()
    assert len(tables.instances) == instances
    return float(after - before)


def job_memory(jobs: int) -> float:
    """Return the resident bytes of jobs, half of them with a lease."""
    before = read_resident_bytes()
    tables = build_tables(100, TARGET_POOLS, jobs)
    after = read_resident_bytes()
    assert len(tables.jobs) == jobs
    return float(after - before)
