"""Build the tables of instances for the tests of this folder."""

from __future__ import annotations

from galenareel._jobs.clients import InstanceList
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import Instance
from testing.standins.instances import FakePlatform


def make_tables(platform: FakePlatform) -> FleetTables:
    listing = platform.list_instances()
    assert isinstance(listing, InstanceList)
    return FleetTables(
        instances={
            row.name: Instance(row=row, listed_at=0.0) for row in listing.rows
        }
    )
