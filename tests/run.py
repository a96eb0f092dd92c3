"""Runs nose2 and prints a last line ``N passed, N failed``.

Failures of tests that KNOWN-RED.txt lists are printed and do not change the
exit code. A listed test that passes is printed too, so that its entry can be
removed.
"""

import pathlib
import sys

from nose2.main import PluggableTestProgram

_KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


class _Outcomes:
    """Collects test ids by outcome with nose2's testOutcome hook."""

    def __init__(self) -> None:
        self.passed: list[str] = []
        self.failed: list[str] = []
        self.skipped: list[str] = []

    def testOutcome(self, event) -> None:
        name = event.test.id().partition("\n")[0]
        if event.outcome == "subtest" and event.exc_info is None:
            # Subtests are not counted separately.
            return
        if event.outcome == "skipped":
            self.skipped.append(name)
        elif event.outcome == "passed" and event.expected:
            self.passed.append(name)
        else:
            self.failed.append(name)


def _known_red() -> set[str]:
    """Return the ids of the tests named by lines ``test: <id>``."""
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    }


def _run(names: list[str]) -> int:
    outcomes = _Outcomes()
    program = PluggableTestProgram(
        module=None,
        argv=["nose2", "-v", *names],
        exit=False,
        extraHooks=[("testOutcome", outcomes)],
    )
    known_red = _known_red()
    known_failures = [name for name in outcomes.failed if name in known_red]
    for name in known_failures:
        print(f"known red: {name}")
    for name in sorted(known_red.intersection(outcomes.passed)):
        print(f"listed in KNOWN-RED.txt but passed: {name}")
    print(f"{len(outcomes.passed)} passed, {len(outcomes.failed)} failed")
    if not outcomes.passed:
        return 1
    if len(outcomes.failed) > len(known_failures):
        return 1
    return 0 if program.result.wasSuccessful() or known_failures else 1


if __name__ == "__main__":
    sys.exit(_run(sys.argv[1:]))
