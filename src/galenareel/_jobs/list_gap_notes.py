"""Note the rows of workers' lists that could not be read."""

from __future__ import annotations

from galenareel._jobs.clients import Listing
from galenareel._jobs.leases import Leases
from galenareel._scheduling.tables import RunKey
from galenareel._scheduling.tables import Worker


class ListGapNotes(Leases):
    """Decides what becomes of a worker whose lists have gaps."""

    def _note_gap(self, worker: Worker, listing: Listing) -> None:
        """Log when the lists of a worker begin to have gaps, and the end."""
        had_gap = worker.gaps.is_open
        worker.gaps.is_open = bool(listing.gap)
        if listing.gap and not had_gap:
            self._log.warning(
                'worker_list_incomplete',
                worker=worker.name,
                known=worker.has_listed,
                runs=len(worker.runs),
                detail=listing.gap,
            )
        elif had_gap and not listing.gap:
            worker.gaps.missing_since = None
            self._log.info('worker_list_complete', worker=worker.name)
            self.wake_pool(worker.pool)

    def _is_given_up(self, worker: Worker, now: float) -> bool:
        """Return whether a worker counts as silent for the gap in its list.

        What runs there is not known to a leader that has had no list without
        a gap, and no end of a run that has been missing for long will come.
        The lease of the worker expires, and its tasks start elsewhere.
        """
        gaps = worker.gaps
        return gaps.is_open and (
            not worker.has_listed or gaps.is_run_lost(now)
        )

    def _note_missing_runs(
        self,
        worker: Worker,
        listing: Listing,
        listed: set[RunKey],
        now: float,
    ) -> None:
        """Note since when a list with a gap lacks a known run.

        A run that the worker is known to have started does not vanish without
        an end, so it is the odd row if all ends could be read.
        """
        gaps = worker.gaps
        missing = [
            run for key, run in worker.runs.items() if key not in listed
        ]
        is_running = (
            listing.has_all_ends
            and len(missing) <= listing.unread_runs
            and all(run.confirmed_at is not None for run in missing)
        )
        if not listing.gap or not missing or is_running:
            gaps.missing_since = None
        elif gaps.missing_since is None:
            gaps.missing_since = now
