"""Client of the platform's metadata store."""

import asyncio
import base64
import json
import time
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import quote

import logbook
import msgspec

from chiverun.core.bytebudget import ByteBudget
from chiverun.core.catalog import Machine
from chiverun.core.errors import DECODE_ERRORS
from chiverun.core.exchange import Answered
from chiverun.core.exchange import TooLarge
from chiverun.core.ids import Address
from chiverun.core.loopusage import LoopPart
from chiverun.core.replica import Unreadable
from chiverun.core.replica import VersionedRecord
from chiverun.core.revisions import Era
from chiverun.core.revisions import ERA_MAX
from chiverun.core.revisions import era_of
from chiverun.core.revisions import make_revision
from chiverun.core.revisions import Revision
from chiverun.core.revisions import STORE_REVISION_MAX
from chiverun.core.revisions import store_revision_of
from chiverun.core.statednumbers import parse_whole
from chiverun.core.statednumbers import StatedNumber
from chiverun.core.timeshare import TURN_S
from chiverun.integrations.asyncclient import ClientConnection
from chiverun.integrations.asyncclient import connect
from chiverun.integrations.asyncclient import OutgoingRequest
from chiverun.integrations.catalogstore import CatalogUnavailable
from chiverun.integrations.catalogstore import Changes
from chiverun.integrations.catalogstore import HistoryCompacted
from chiverun.integrations.readturns import ReadTurns
from chiverun.platform import records
from chiverun.platform import values

_LOG = logbook.Logger("store")

CONNECT_TIMEOUT_S = 0.6
# For a watch, its waiting time is added.
CALL_TIMEOUT_S = 1.2
# Each time-out raises the next call's limit up to this value, so that a slow
# store can still be read.
CALL_TIMEOUT_MAX_S = 6.0
# Header that counts how often the store was restored from an older copy, after
# which its revisions go back.
_ERA = "store-era"
# Answers in a row with an earlier era after which it is followed.
EARLIER_ERAS_MAX = 3
_ERA_RANGE = StatedNumber(high=ERA_MAX, unit="")
# Far above a page of a listing, which has about 1 MB. Changes that take more
# are read as a listing.
_BODY_BYTES_MAX = 16 * 1024 * 1024
_PAGES_MAX = 200
# Rows are decoded one by one: decoded as a whole, a large response would hold
# the event loop for as long as all of its rows take.
_BODY_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_ROWS_DECODER = msgspec.json.Decoder(list[msgspec.Raw])
_ROW_FIELDS = ("items", "events")
# Bound of a response that is decoded as a whole.
_WHOLE_BYTES_MAX = 4 * 1024 * 1024


class _ResponseTooLarge(CatalogUnavailable):
    """Raised when a response is over the limit of bytes."""


class PlatformStore:
    """Client with one persistent connection and one call at a time."""

    def __init__(
        self,
        *,
        address: Address,
        turns: ReadTurns | None = None,
        memory: ByteBudget | None = None,
    ) -> None:
        self._address = address
        self._memory = memory
        self._turns = turns
        self._connection: ClientConnection | None = None
        self._timeout_s = CALL_TIMEOUT_S
        self._era = Era(0)
        # Answers in a row that named an earlier era.
        self._earlier_eras = 0

    async def read_all(self) -> Changes:
        """Return all records.

        The pages are not a consistent snapshot. The returned revision is
        that of the first page, so that a watch from there also returns the
        changes made while the other pages were read.

        Raises
        ------
        CatalogUnavailable
        """
        items: list[VersionedRecord] = []
        as_of: Revision | None = None
        path = "/-/kv-range?prefix="
        for _ in range(_PAGES_MAX):
            body = await self._get(path)
            page_at = make_revision(self._era, body["storeRevision"])
            if as_of is None:
                as_of = page_at
            if era_of(page_at) != era_of(as_of):
                raise CatalogUnavailable("restored between two pages")
            last_key = None
            async for row in valid_rows(body, "items"):
                last_key = row["key"]
                items += self._record_of(row)
            if not body.get("hasMore") or last_key is None:
                return Changes(items=items, as_of=as_of)
            after = quote(last_key, safe="")
            path = f"/-/kv-range?prefix=&after={after}"
        raise CatalogUnavailable(
            f"kv-range returned more than {_PAGES_MAX} pages"
        )

    async def changes_since(
        self, revision: Revision, wait_s: float
    ) -> Changes:
        """Return the changes after a revision.

        Wait up to `wait_s` if there are none yet.

        Raises
        ------
        CatalogUnavailable
        HistoryGone
        """
        path = (
            f"/-/kv-watch?prefix=&after={store_revision_of(revision)}"
            f"&waitMs={int(wait_s * 1000)}"
        )
        try:
            body = await self._get(path, wait_s=wait_s)
        except _ResponseTooLarge as exc:
            raise HistoryCompacted from exc
        if era_of(revision) != self._era:
            # The revision is one of another history.
            raise HistoryCompacted
        items: list[VersionedRecord] = []
        async for row in valid_rows(body, "events"):
            items += self._record_of(row)
        return Changes(
            items=items,
            as_of=make_revision(self._era, body["storeRevision"]),
        )

    def _record_of(self, row: dict[str, Any]) -> list[VersionedRecord]:
        item = decode_item(row, self._era)
        return [] if item is None else [item]

    async def register(
        self, machine: Machine, known_revision: Revision
    ) -> bool:
        """Write a machine's record if its revision is `known_revision`.

        Return whether it was written.

        Raises
        ------
        CatalogUnavailable
            Also if the write may have been executed. Retrying is safe.
        """
        key, value = records.encode_machine(machine)
        row = {"key": key, "value": base64.b64encode(value).decode()}
        body = {
            "expectedRev": [
                {"key": key, "revision": store_revision_of(known_revision)}
            ],
            "writes": [row],
            "remove": [],
        }
        response = await self._call("POST", "/-/kv-txn", json.dumps(body))
        if response.status not in (200, 412):
            raise CatalogUnavailable(
                f"kv-txn: status {response.status}; expected 200 or 412"
            )
        return response.status == 200

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.abort()

    async def _get(self, path: str, *, wait_s: float = 0.0) -> dict[str, Any]:
        response = await self._call("GET", path, "", wait_s=wait_s)
        if response.status == 410:
            raise HistoryCompacted
        if response.status != 200:
            raise CatalogUnavailable(
                f"{path}: status {response.status}; expected 200"
            )
        return decode_body(bytes(response.body), path)

    async def _call(
        self, method: str, path: str, body: str, *, wait_s: float = 0.0
    ) -> Answered:
        connection = await self._get_connection()
        headers = [(b"Host", self._address.encode())]
        if body:
            headers += [
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(body)).encode()),
            ]
        end = await connection.exchange(
            OutgoingRequest(
                method=method.encode(),
                target=path.encode(),
                headers=headers,
                body=body.encode(),
                matches_request=lambda headers: True,
            ),
            self._timeout_s + wait_s,
        )
        if not isinstance(end, Answered):
            # The store may be slow, not down; allow the next call more time.
            self._timeout_s = min(CALL_TIMEOUT_MAX_S, self._timeout_s * 1.5)
            connection.abort()
            if isinstance(end, TooLarge):
                raise _ResponseTooLarge(f"{path}: {end}")
            raise CatalogUnavailable(f"{path}: {end}")
        self._timeout_s = max(CALL_TIMEOUT_S, self._timeout_s * 0.9)
        self._follow_era(end, path)
        return end

    def _follow_era(self, answer: Answered, path: str) -> None:
        """Take the era from an answer; only later ones are followed.

        An earlier one in several answers in a row shows that the era that is
        known was a wrong one.
        """
        headers = {name.lower(): value for name, value in answer.headers}
        era = _parse_era(headers.get(_ERA), self._era)
        if era is not None and era < self._era:
            self._earlier_eras += 1
        else:
            self._earlier_eras = 0
        if era is None or 0 < self._earlier_eras < EARLIER_ERAS_MAX:
            raise CatalogUnavailable(
                f"{path}: {_ERA}: {headers[_ERA][:80]!r} is not valid; "
                f"expected a whole number from {self._era} to {ERA_MAX}"
            )
        if era != self._era:
            _LOG.info(
                "store era changed", extra={"era": era, "before": self._era}
            )
            self._era = era
            self._earlier_eras = 0

    async def _get_connection(self) -> ClientConnection:
        if self._connection is None or not self._connection.reusable:
            try:
                self._connection = await connect(
                    self._address,
                    timeout_s=CONNECT_TIMEOUT_S,
                    body_bytes_max=_BODY_BYTES_MAX,
                    memory=self._memory,
                    part=LoopPart.STORE,
                    turns=self._turns,
                )
            except (OSError, TimeoutError) as exc:
                raise CatalogUnavailable(f"connect: {exc!r}") from exc
        return self._connection


def _parse_era(text: str | None, known: Era) -> Era | None:
    """Return the era that a header names, None if it is not valid.

    Without the header the known one holds.
    """
    if text is None:
        return known
    era = parse_whole(text, _ERA_RANGE)
    return None if era is None else Era(era)


def decode_body(data: bytes, path: str) -> dict[str, Any]:
    """Decode a response of the store, but for its rows.

    Raises
    ------
    CatalogUnavailable
        If the response is malformed.
    """
    try:
        body = _decode_fields(data)
        values.integer(body, "storeRevision", maximum=STORE_REVISION_MAX)
    except (*DECODE_ERRORS, values.InvalidValueError) as exc:
        raise CatalogUnavailable(f"{path}: {exc}") from exc
    return body


def _decode_fields(data: bytes) -> dict[str, Any]:
    try:
        return {
            name: _ROWS_DECODER.decode(value)
            if name in _ROW_FIELDS
            else msgspec.json.decode(value)
            for name, value in _BODY_DECODER.decode(data).items()
        }
    except DECODE_ERRORS as exc:
        # One string that is not Unicode makes a response unreadable for
        # msgspec; its other rows hold.
        if len(data) > _WHOLE_BYTES_MAX:
            raise _ResponseTooLarge(f"{exc} in {len(data)} bytes") from exc
        return json.loads(data)


async def valid_rows(
    body: dict[str, Any], name: str
) -> AsyncIterator[dict[str, Any]]:
    """Decode the valid rows of a response; skip the others.

    After each turn there is a break for everything else.

    Raises
    ------
    CatalogUnavailable
        If the response has no such rows.
    """
    if not isinstance(body.get(name), list):
        raise CatalogUnavailable(f"{name}: {body.get(name)!r} is not a list")
    skipped = 0
    turn_ends_at = time.monotonic() + TURN_S
    for data in body[name]:
        try:
            row = _decode_row(data)
        except (*DECODE_ERRORS, values.InvalidValueError) as exc:
            skipped += 1
            if skipped == 1:
                _LOG.warning(
                    "skipping malformed store row", extra={"reason": str(exc)}
                )
        else:
            yield row
        if time.monotonic() >= turn_ends_at:
            await asyncio.sleep(0)
            turn_ends_at = time.monotonic() + TURN_S
    if skipped > 1:
        _LOG.warning("malformed store rows skipped", extra={"rows": skipped})


def _decode_row(data: Any) -> dict[str, Any]:
    row = msgspec.json.decode(data) if isinstance(data, msgspec.Raw) else data
    values.field(row, "key", str).encode()
    values.integer(row, "revision", maximum=STORE_REVISION_MAX)
    return row


def decode_item(row: dict[str, Any], era: Era) -> VersionedRecord | None:
    """Decode an item or event; return None for keys that are not used."""
    key = row["key"]
    if not key.startswith(records.PREFIXES):
        return None
    revision = make_revision(era, row["revision"])
    if row.get("deleted"):
        return VersionedRecord(key=key, revision=revision)
    try:
        data = base64.b64decode(values.field(row, "value", str), validate=True)
    except (ValueError, values.InvalidValueError) as exc:
        record = Unreadable(reason=str(exc))
    else:
        record = records.decode_record(key, data)
    if isinstance(record, Unreadable):
        _LOG.warning(
            "cannot decode store record",
            extra={"key": key, "reason": record.reason},
        )
    if record is None:
        return None
    return VersionedRecord(key=key, revision=revision, record=record)
