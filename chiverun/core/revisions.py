"""Positions in the changes of a store that can be restored from a copy.

After a restoration the store gives out revisions a second time. It counts its
restorations as eras, so that the era and the revision together order all that
it has ever held.
"""

from typing import Annotated
from typing import NewType

import msgspec

# How often the store has been restored.
Era = NewType("Era", int)
# The store's own modification counter, which goes back with a restoration.
StoreRevision = NewType("StoreRevision", int)
# Era and store revision in one number, so that later ones are larger.
Revision = NewType("Revision", int)

_STORE_REVISION_BITS = 48
STORE_REVISION_MAX = 2**_STORE_REVISION_BITS - 1
ERA_MAX = 2**14 - 1
_REVISION_MAX = (ERA_MAX << _STORE_REVISION_BITS) | STORE_REVISION_MAX
# A revision in a message or a record.
StatedRevision = Annotated[Revision, msgspec.Meta(ge=0, le=_REVISION_MAX)]


def make_revision(era: Era, store_revision: StoreRevision) -> Revision:
    """Return the position of a store revision within an era."""
    return Revision((era << _STORE_REVISION_BITS) | store_revision)


def era_of(revision: Revision) -> Era:
    """Return the era of a position."""
    return Era(revision >> _STORE_REVISION_BITS)


def store_revision_of(revision: Revision) -> StoreRevision:
    """Return the store's own revision at a position."""
    return StoreRevision(revision & STORE_REVISION_MAX)
