"""Tests of the validation of tickets against the state."""

import unittest

from nose2.tools import params

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.state import apply_ticket
from chiverun.core.state import empty_state
from chiverun.core.ticket import read_ticket
from chiverun.core.ticketcheck import check_ticket

_HEADER = 'number = {}\nreason = "r"\nauthor = "a"\n'
_SERVER = (
    '[[server]]\nname="{}"\nservice="v"\nzone="{}"\naddress="{}"\n'
    'slots={}\nstate="{}"\n'
)
_BASE = (
    '[[region]]\nname="r"\n[[region]]\nname="q"\n'
    '[[zone]]\nname="z"\nregion="r"\nseats=2\n'
    '[[zone]]\nname="y"\nregion="q"\n'
    '[[link]]\nname="l"\nsource="r"\ntarget="q"\nmbit_per_s=1\n'
    '[[service]]\nname="v"\nclasses=[{name="c",methods=["GET"]}]\n'
    '[[site]]\nname="t"\nzone="z"\nblocks=["10.0.0.0/8"]\n'
    + _SERVER.format("s", "z", "127.0.0.1:1", 2, "active")
    + _SERVER.format("d", "z", "127.0.0.1:2", 2, "drain")
)
_SHIFT = (
    '[[shift]]\nname="{}"\nservice="v"\nsource="r"\ntarget="{}"\n'
    "fraction={}\ncap_per_s={}\n"
)


class TicketCheckTest(unittest.TestCase):
    def check(self, text: str):
        first = read_ticket((_HEADER.format(1) + _BASE).encode())
        state = apply_ticket(empty_state(), first)
        check_ticket(empty_state(), first)
        return check_ticket(state, read_ticket(text.encode()))

    @params(
        (_SHIFT.format("x", "r", 0.5, 1), "a region other than the source"),
        (_SHIFT.format("x", "q", 1.5, 1), "fraction is 1.5"),
        (_SHIFT.format("x", "q", "nan", 1), "fraction is nan"),
        (_SHIFT.format("x", "q", 0.5, 0), "cap_per_s is 0"),
        (_SHIFT.format("x", "n", 0.5, 1), "target is 'n'; valid: q, r"),
        (
            _SHIFT.format("x", "q", 0.5, 1) + _SHIFT.format("w", "q", 1, 1),
            "one at a time",
        ),
        ('[[zone]]\nname="z"\nregion="r"\nseats=3\n', "seats is 3; valid: 2"),
        ('[[remove]]\nkind="zone"\nname="z"\n', "zone is 'z'; valid: y"),
        ('[[remove]]\nkind="zone"\nname="n"\n', "does not exist"),
        ('[[remove]]\nkind="server"\nname="s"\n' * 2, "listed twice"),
        ('[[remove]]\nkind="frob"\nname="s"\n', "valid: region, zone"),
        ('[[region]]\nname=""\n', "1 to 100 printable"),
        ('[[service]]\nname="a/b"\nclasses=[]\n', "name is 'a/b'; valid"),
        ('[[site]]\nname="u"\nzone="z"\nblocks=["10.0.0.0/8"]\n', "site t"),
        (
            '[[link]]\nname="k"\nsource="r"\ntarget="q"\nmbit_per_s=1\n',
            "are those of link l",
        ),
        (_SERVER.format("e", "z", "h:1", 1, "active"), "valid: IP:PORT"),
        (_SERVER.format("e", "z", "127.0.0.1:1", 1, "active"), "server s"),
        (_SERVER.format("e", "z", "127.0.0.1:3", 0, "active"), "slots is 0"),
        (_SERVER.format("s", "y", "127.0.0.1:1", 2, "active"), "zone is 'y'"),
    )
    def test_invalid(self, text, expected_text):
        """Guards against accepting a ticket with an inconsistent state."""
        with self.assertRaises(ChiverunError) as caught:
            self.check(_HEADER.format(2) + text)
        self.assertEqual(ResultCode.TICKET_INVALID, caught.exception.code)
        self.assertIn(expected_text, caught.exception.message)

    @params(
        ('[[site]]\nname="u"\nzone="z"\nblocks=["10.0.0.1/8"]\n', "host bits"),
        (
            '[[site]]\nname="u"\nzone="z"\nblocks=["10.0.0.0/255.0.0.0"]\n',
            "valid: 10.0.0.0/8",
        ),
    )
    def test_malformed_block(self, text, expected_text):
        """Guards against one block in two notations; rejected on parsing."""
        with self.assertRaises(ChiverunError) as caught:
            self.check(_HEADER.format(2) + text)
        self.assertEqual(ResultCode.TICKET_MALFORMED, caught.exception.code)
        self.assertIn(expected_text, caught.exception.message)

    def test_drained_server_may_move(self):
        """Guards against rejecting the move of a drained server."""
        moved = _SERVER.format("d", "y", "127.0.0.1:2", 2, "active")
        state = self.check(_HEADER.format(2) + moved)
        self.assertEqual(2, state.number)

    def test_too_large(self):
        """Guards against a ticket larger than a value of the store."""
        with self.assertRaises(ChiverunError) as caught:
            self.check(f'number=2\nreason="{"r" * 900_000}"\nauthor="a"\n')
        self.assertEqual(ResultCode.TICKET_TOO_LARGE, caught.exception.code)
