"""Interface of the store that holds the catalog."""

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chiverun.core.catalog import Machine
    from chiverun.core.replica import VersionedRecord
    from chiverun.core.revisions import Revision


class CatalogUnavailable(Exception):
    """Raised when the store does not respond or rejects a call.

    Whether a write took effect is unknown.
    """


class HistoryCompacted(Exception):
    """Raised when the store does not have the changes since a revision.

    It has discarded them, or has been restored from an older copy.
    """


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
    """Records that changed up to a revision."""

    items: "list[VersionedRecord]"
    as_of: "Revision"


class CatalogStore(Protocol):
    """Reads the catalog and registers this machine."""

    async def read_all(self) -> Changes: ...

    async def changes_since(
        self, revision: "Revision", wait_s: float
    ) -> Changes: ...

    async def register(
        self, machine: "Machine", known_revision: "Revision"
    ) -> bool: ...
