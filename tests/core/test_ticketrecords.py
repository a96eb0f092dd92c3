"""Tests of access to single keys of the ticket log."""

import unittest

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.state import empty_state
from chiverun.core.state import State
from chiverun.core.ticket import Region
from chiverun.core.ticket import Ticket
from chiverun.core.ticketbase import BASE_KEY
from chiverun.core.ticketbase import CHUNK_PREFIX
from chiverun.core.ticketcheck import check_ticket
from chiverun.core.ticketentry import apply_entry
from chiverun.core.ticketentry import Entry
from chiverun.core.ticketrecords import LogGap
from chiverun.core.ticketrecords import TicketRecords
from chiverun.integrations.interfaces import StoreUnavailable
from standins.memorystore import Fault
from standins.memorystore import MemoryStore
from standins.platform import Platform


def _entry(state: State, author: str = "a") -> Entry:
    """Return the entry of the ticket after a state."""
    number = state.number + 1
    ticket = Ticket(
        number=number,
        reason="test",
        author=author,
        region=(Region(name=f"r{number}"),),
    )
    digest = check_ticket(state, ticket).digest
    return Entry(
        number=number, digest=digest, submission=f"s{number}", ticket=ticket
    )


class TicketRecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform()
        self.records = self._records()

    def _records(self, **faults) -> TicketRecords:
        store = MemoryStore(platform=self.platform, **faults)
        return TicketRecords(store=store)

    def _states(self, count: int) -> list[State]:
        states = [empty_state()]
        for _ in range(count):
            states.append(apply_entry(states[-1], _entry(states[-1])))
        return states

    def test_entry_is_read_back(self) -> None:
        """Guards against a written entry that cannot be read."""
        entry = _entry(empty_state())
        self.assertIsNone(self.records.entry(1))
        self.records.write_entry(entry)
        self.assertEqual(entry, self.records.entry(1))

    def test_left_over_entry_is_replaced(self) -> None:
        """Guards against an entry from the history before a restore."""
        self.records.write_entry(_entry(empty_state(), "before"))
        entry = _entry(empty_state())
        self.records.write_entry(entry)
        self.assertEqual(entry, self.records.entry(1))

    def test_entry_under_another_number_is_an_error(self) -> None:
        """Guards against applying a ticket out of order."""
        self.records.write_entry(_entry(empty_state()))
        (key,) = self.platform.data
        value = self.platform.get(key, 0, 0.0)[0]
        self.platform.put(key.replace("1", "2"), value, None)
        with self.assertRaises(ChiverunError) as caught:
            self.records.entry(2)
        self.assertIs(ResultCode.TICKET_MALFORMED, caught.exception.code)

    def test_lost_response_to_write_is_resolved_by_read(self) -> None:
        """Guards against a write that is reported failed but took effect."""
        faults = {0: Fault.LOST_AFTER}
        self._records(write_faults=faults).write_entry(_entry(empty_state()))
        self.assertIsNotNone(self.records.entry(1))

    def test_write_that_never_takes_effect_is_an_error(self) -> None:
        """Guards against reporting an entry as written that is not."""
        faults = dict.fromkeys(range(9), Fault.LOST_BEFORE)
        with self.assertRaises(StoreUnavailable):
            self._records(write_faults=faults).write_entry(
                _entry(empty_state())
            )

    def test_base_moves_forward_only(self) -> None:
        """Guards against a compaction that reverts newer tickets."""
        states = self._states(3)
        self.assertTrue(self.records.write_base(states[3]))
        self.assertFalse(self.records.write_base(states[2]))
        self.assertEqual(states[3].digest, self.records.load_base().digest)

    def test_missing_chunk_is_a_gap(self) -> None:
        """Guards against a base decoded while its chunks are replaced."""
        self.assertIsNone(self.records.load_base())
        self.records.write_base(self._states(1)[1])
        for key in list(self.platform.data):
            if key.startswith(CHUNK_PREFIX) and key != BASE_KEY:
                del self.platform.data[key]
        with self.assertRaises(LogGap):
            self.records.load_base()
