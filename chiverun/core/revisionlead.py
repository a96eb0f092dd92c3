"""How long a replica has been ahead of all that others say of the store."""

import dataclasses

from chiverun.core.revisions import Revision

# News of the store reaches all instances sooner.
LEAD_MAX_S = 5.0


@dataclasses.dataclass(kw_only=True)
class RevisionLead:
    """Tells whether the revision that is known is a wrong one.

    What one instance knows, all know soon: a revision that nobody else
    reaches has been named by a faulty message or answer.
    """

    # Since when all updates have been behind, in monotonic seconds.
    _since: float | None = None

    def note_update(
        self, as_of: Revision, *, known: Revision, now: float
    ) -> None:
        """Apply what another instance says of the store."""
        if as_of >= known:
            self._since = None
        elif self._since is None:
            self._since = now

    def is_too_long(self, now: float) -> bool:
        """Return whether nobody has reached the known revision for long."""
        return self._since is not None and now - self._since > LEAD_MAX_S

    def end(self) -> None:
        """Start over after another revision has been taken."""
        self._since = None
