"""Tests of the core's decoders with malformed input.

They guard against a message, ticket or store value whose error has no code:
it would end the thread or the command that reads it.
"""

import contextlib
import pathlib
import tempfile
import unittest

import msgspec
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from nose2.tools import params

from chiverun.core.blocks import Blocks
from chiverun.core.errors import ChiverunError
from chiverun.core.messages import Advert
from chiverun.core.messages import decode_message
from chiverun.core.messages import encode_message
from chiverun.core.messages import Gossip
from chiverun.core.messages import Ping
from chiverun.core.messages import SeatTransfer
from chiverun.core.messages import StateChunk
from chiverun.core.messages import Tickets
from chiverun.core.settings import read_operator_settings
from chiverun.core.settings import read_settings
from chiverun.core.state import decode_state
from chiverun.core.state import empty_state
from chiverun.core.state import encode_state
from chiverun.core.ticket import decode_ticket
from chiverun.core.ticket import encode_ticket
from chiverun.core.ticket import read_ticket
from chiverun.core.ticket import Region
from chiverun.core.ticket import Site
from chiverun.core.ticket import Ticket
from chiverun.core.ticketbase import BasePointer
from chiverun.core.ticketbase import decode_pointer
from chiverun.core.ticketbase import encode_pointer
from chiverun.core.ticketentry import decode_entry
from chiverun.core.ticketentry import encode_entry
from chiverun.core.ticketentry import Entry
from chiverun.integrations.interfaces import Item
from tests import malformed

_EXAMPLES = settings(derandomize=True, max_examples=300, deadline=None)
_TICKET = Ticket(
    number=1,
    reason="r",
    author="a",
    region=(Region(name="x"),),
    site=(Site(name="s", zone="x", blocks=Blocks.parse(["10.0.0.0/8"])),),
)
_ENTRY = Entry(number=1, digest="d", submission="s", ticket=_TICKET)
_ADVERT = Advert(
    instance="i",
    boot_id="b",
    incarnation=1,
    sequence=2,
    zone="z",
    lookup="h:1",
    entry="h:2",
    forward="h:3",
    peer="h:4",
    leaving=False,
    seats=(),
    free_slots={"v": 3},
    number=1,
)
_MESSAGES = (
    Ping(
        sequence=1,
        gossip=Gossip(
            sender=_ADVERT, number=1, digest="d", adverts=(_ADVERT,)
        ),
    ),
    Tickets(entries=(_ENTRY,)),
    StateChunk(number=1, digest="d", index=0, total=1, data=b"x"),
    SeatTransfer(
        seat=1,
        epoch=2,
        instance="i",
        boot_id="b",
        previous_holder="h:1",
        short_ms=1,
        long_ms=2,
        sent_epoch_ms=3,
    ),
)
_POINTER = BasePointer(number=1, digest="d", chunks=1, check="c")


def _decode_pointer(data: bytes) -> object:
    return decode_pointer(Item(key="k", value=data, index=1))


_DECODERS = (
    (decode_message, encode_message(_MESSAGES[0])),
    (decode_ticket, encode_ticket(_TICKET)),
    (decode_entry, encode_entry(_ENTRY)),
    (decode_state, encode_state(empty_state())),
    (_decode_pointer, encode_pointer(_POINTER)),
)


def _decode(decode, data: bytes) -> None:
    """Decode; an error must be one with a code."""
    with contextlib.suppress(ChiverunError):
        decode(data)


class DecoderTest(unittest.TestCase):
    @params(*_DECODERS)
    def test_bytes(self, decode, valid):
        """Guards against data of another program, cut or changed data."""

        @_EXAMPLES
        @given(
            strategies.one_of(
                malformed.RANDOM_BYTES, malformed.cut_or_flipped(valid)
            )
        )
        def check(data: bytes) -> None:
            _decode(decode, data)

        check()
        decode(valid)

    @params(*_DECODERS)
    def test_deep_nesting(self, decode, valid):
        """Guards against an error of the interpreter's recursion limit."""
        deep = malformed.DEEP_MSGPACK
        for data in (deep, valid[:1] + deep, b"\x81\xa1x" + deep):
            _decode(decode, data)

    @params(*_MESSAGES)
    def test_message_fields(self, message):
        """Guards against one odd field in a message of a peer."""
        body = msgspec.msgpack.decode(encode_message(message))

        @_EXAMPLES
        @given(malformed.variants(body))
        def check(variant: object) -> None:
            _decode(decode_message, malformed.to_msgpack(variant))

        check()

    @params(
        (decode_ticket, encode_ticket(_TICKET)),
        (decode_entry, encode_entry(_ENTRY)),
        (_decode_pointer, encode_pointer(_POINTER)),
    )
    def test_record_fields(self, decode, valid):
        """Guards against one odd field in a value of the store."""

        @_EXAMPLES
        @given(malformed.variants(msgspec.msgpack.decode(valid)))
        def check(variant: object) -> None:
            _decode(decode, malformed.to_msgpack(variant))

        check()


class FileTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "file"

    @params(read_settings, read_operator_settings)
    def test_settings(self, read):
        """Guards against settings whose error has no code."""
        lines = strategies.lists(
            strategies.one_of(
                strategies.sampled_from(
                    [
                        b"[instance]",
                        b"[operator]",
                        b"[limits]",
                        b"name = %(x)s",
                        b"store = 1:2:3",
                        b"entry_threads = 9e999",
                        b" = ",
                        b"[",
                        b"store\t=\x00",
                    ]
                ),
                strategies.binary(max_size=20),
            ),
            max_size=8,
        )

        @_EXAMPLES
        @given(lines)
        def check(rows: list[bytes]) -> None:
            self.path.write_bytes(b"\n".join(rows))
            _decode(read, self.path)

        check()

    @_EXAMPLES
    @given(
        strategies.one_of(
            malformed.RANDOM_BYTES,
            malformed.cut_or_flipped(
                b'number = 1\nreason = "r"\nauthor = "a"\n'
                b'[[region]]\nname = "x"\nin_flight_max = 3\n'
            ),
        )
    )
    def test_ticket_text(self, data):
        """Guards against a ticket file whose error has no code."""
        _decode(read_ticket, data)
