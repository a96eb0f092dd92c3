"""What the product needs of a store that holds its catalog."""

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chiverun.core.catalog import Machine
    from chiverun.core.catalog import Revision
    from chiverun.core.replica import VersionedRecord


class CatalogUnavailable(Exception):
    """The store did not answer, or refused; nothing is known."""


class HistoryCompacted(Exception):
    """The store no longer has the changes since a revision."""


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
