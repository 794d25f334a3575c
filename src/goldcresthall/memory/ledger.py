"""One account of the memory for requests, responses and what waits to be written."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.kernel import service
from goldcresthall.memory import holders
from goldcresthall.memory import shedding

if TYPE_CHECKING:
    from collections.abc import Callable

# Reclaimed memory is free once the reader of its body has noticed, and a response that is complete
# usually leaves within this time.
WAIT_S: Final = 1.0
SHORTAGE_S: Final = 2.0
# A body that grows by less within `shedding.SILENT_S` counts as silent, so that a byte now and then
# does not protect it.
PROGRESS_BYTES: Final = 8_192


class MemoryLedger(service.Service):
    """The memory of all requests and responses of the process.

    Parameters
    ----------
    total_bytes
        Sum of what all accounts may hold.
    read_s
        Clock, in seconds.

    Attributes
    ----------
    wait_s
        Longest wait in seconds for memory that is being reclaimed or written.
    """

    def __init__(
        self,
        total_bytes: int,
        read_s: Callable[[], float] = time.monotonic,
        wait_s: float = WAIT_S,
    ) -> None:
        self._total_bytes = total_bytes
        self._read_s = read_s
        self.wait_s = wait_s
        self._changed = threading.Condition(threading.Lock())
        self._used_bytes = 0
        self._waiting = 0
        self._account_count = 0
        self._incomplete: dict[int, Account] = {}
        self._short_until_s = 0.0

    @property
    def is_short(self) -> bool:
        """Whether there was no room for something within the last `SHORTAGE_S` seconds."""
        return self._read_s() < self._short_until_s

    @property
    def used_bytes(self) -> int:
        """Bytes that all accounts hold."""
        return self._used_bytes

    def start(self) -> None:
        """Do nothing; there is nothing to start."""

    def stop(self) -> None:
        """Do nothing; there is nothing to stop."""

    def open(self, kind: holders.HolderKind) -> Account:
        """Return an empty account."""
        with self._changed:
            self._account_count += 1
            return Account(self, kind, self._account_count, self._read_s())

    def make_room(self, account: Account, count: int) -> bool:
        """Return whether there is room for more bytes of an account, as `take`; count nothing."""
        with self._changed:
            return self._make_room(account, count)

    def take(self, account: Account, count: int) -> bool:
        """Count more bytes for an account; return whether there was room for them.

        Without room, incomplete bodies are reclaimed. The call waits for the memory that becomes
        free by this, and a response waits for others to be written.
        """
        with self._changed:
            if not self._make_room(account, count):
                return False
            self._count(account, count)
            return True

    def note_shortage(self) -> None:
        """Record that there was no room for something."""
        self._short_until_s = self._read_s() + SHORTAGE_S

    def try_take(self, account: Account, count: int) -> bool:
        """Count more bytes for an account if there is room now; return whether there was."""
        with self._changed:
            if not self._has_room(account, count):
                return False
            self._count(account, count)
            return True

    def complete(self, account: Account) -> None:
        """Reclaim the memory of an account no more."""
        with self._changed:
            account.is_complete = True
            self._incomplete.pop(account.number, None)

    def release(self, account: Account) -> None:
        """Count nothing for an account."""
        with self._changed:
            self._used_bytes -= account.held_bytes
            account.held_bytes = 0
            self._incomplete.pop(account.number, None)
            if self._waiting:
                self._changed.notify_all()

    def _count(self, account: Account, count: int) -> None:
        account.add(count, self._read_s())
        self._used_bytes += count
        if account.is_reclaimable:
            self._incomplete[account.number] = account

    def _make_room(self, account: Account, count: int) -> bool:
        return self._has_room(account, count) or self._wait_for_room(account, count)

    def _could_hold(self, kind: holders.HolderKind, size_bytes: int) -> bool:
        """Return whether a holder of some size would fit if there were no others."""
        return size_bytes <= self._total_bytes * holders.find_share(kind, size_bytes)

    def _find_missing(self, kind: holders.HolderKind, size_bytes: int, count: int) -> int:
        limit_bytes = int(self._total_bytes * holders.find_share(kind, size_bytes))
        return self._used_bytes + count - limit_bytes

    def _has_room(self, account: Account, count: int) -> bool:
        if account.is_reclaimed:
            return False
        return self._find_missing(account.kind, account.held_bytes + count, count) <= 0

    def _wait_for_room(self, account: Account, count: int) -> bool:
        size_bytes = account.held_bytes + count
        if account.is_reclaimed or not self._could_hold(account.kind, size_bytes):
            return False
        self.note_shortage()
        self._reclaim(account, count)
        is_worth_waiting = holders.goes_first(account.kind) or any(
            each.is_reclaimed for each in self._incomplete.values()
        )
        if not is_worth_waiting:
            return False
        self._waiting += 1
        try:
            self._changed.wait_for(
                lambda: account.is_reclaimed or self._has_room(account, count), self.wait_s
            )
            return self._has_room(account, count)
        finally:
            self._waiting -= 1

    def _reclaim(self, account: Account, count: int) -> None:
        """Mark incomplete bodies, whose readers then release them."""
        now_s = self._read_s()
        size_bytes = account.held_bytes + count
        missing_bytes = self._find_missing(account.kind, size_bytes, count)
        candidates = []
        for each in self._incomplete.values():
            if each.is_reclaimed:
                missing_bytes -= each.held_bytes
            elif each is not account:
                silent_s = now_s - each.progressed_at_s
                candidates.append(shedding.Candidate(each.number, each.held_bytes, silent_s))
        asker_bytes = 0 if holders.goes_first(account.kind) else size_bytes
        for chosen in shedding.choose(candidates, shedding.Shortage(missing_bytes, asker_bytes)):
            self._incomplete[chosen.number].is_reclaimed = True
            self._changed.notify_all()


class Account:
    """What one request or response holds.

    Attributes
    ----------
    progressed_at_s
        Clock reading in seconds at which it had last grown by `PROGRESS_BYTES`.
    is_complete
        Whether its body is complete, so that its memory is not reclaimed.
    is_reclaimed
        Whether its memory was reclaimed; its owner has to release it.
    """

    def __init__(
        self, ledger: MemoryLedger, kind: holders.HolderKind, number: int, now_s: float
    ) -> None:
        self._ledger = ledger
        self.kind = kind
        self.number = number
        self.held_bytes = 0
        self.progressed_at_s = now_s
        self._unmarked_bytes = 0
        self.is_complete = False
        self.is_reclaimed = False

    @property
    def is_reclaimable(self) -> bool:
        """Whether its memory may be reclaimed."""
        return not self.is_complete and not holders.goes_first(self.kind)

    def add(self, count: int, now_s: float) -> None:
        """Record bytes that the ledger has counted."""
        self.held_bytes += count
        self._unmarked_bytes += count
        if self._unmarked_bytes >= PROGRESS_BYTES:
            self._unmarked_bytes = 0
            self.progressed_at_s = now_s

    def take(self, count: int) -> bool:
        """Count more bytes; return whether there was room for them."""
        return self._ledger.take(self, count)

    def make_room(self, count: int) -> bool:
        """Return whether there is room for more bytes, as `take`, without counting them."""
        return self._ledger.make_room(self, count)

    def try_take(self, count: int) -> bool:
        """Count more bytes if there is room now; return whether there was."""
        return self._ledger.try_take(self, count)

    def note_shortage(self) -> None:
        """Record that there was no room for more, for a reason of its owner."""
        self._ledger.note_shortage()

    def complete(self) -> None:
        """Keep the memory until it is released."""
        self._ledger.complete(self)

    def release(self) -> None:
        """Count nothing more."""
        self._ledger.release(self)
