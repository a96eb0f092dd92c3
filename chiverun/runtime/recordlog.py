"""Log lines of records that have changed."""

import logbook

from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Machine
from chiverun.core.catalog import Server
from chiverun.core.replica import Evacuation
from chiverun.core.replica import VersionedRecord
from chiverun.core.revisions import era_of
from chiverun.core.revisions import store_revision_of

_LOG = logbook.Logger("catalog")


def log_changes(changed: list[VersionedRecord], source: str) -> None:
    """Write a line for each record; `source` tells where it came from."""
    for item in changed:
        _LOG.info(
            "record changed",
            extra={
                "key": item.key,
                "revision": store_revision_of(item.revision),
                "era": era_of(item.revision),
                "source": source,
                **_describe(item),
            },
        )


def _describe(item: VersionedRecord) -> dict:
    match item.record:
        case None:
            return {"now": "deleted"}
        case DesiredState(version=version):
            return {"now": "desired state", "version": version}
        case Server() as server:
            return {
                "now": server.state.value,
                "service": server.service,
                "zone": server.zone,
                "cold_left_s": server.cold_left_s,
            }
        case Evacuation():
            return {"now": "evacuated"}
        case Machine(entry=entry):
            return {"now": "registered", "entry": entry}
    return {"now": "unreadable"}
