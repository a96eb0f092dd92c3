"""Runs nose2 and prints the closing line ``N passed, N failed``.

Tests listed in KNOWN-RED.txt are run and printed, and do not change the exit
code. A listed test that passes is printed as well, so that the entry can be
removed.
"""

import pathlib
import sys

from nose2.main import PluggableTestProgram

_KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


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
    argv = ["nose2", "-v", *names]
    result = PluggableTestProgram(module=None, argv=argv, exit=False).result
    failing = [
        test.id().partition("\n")[0]
        for test, _ in result.failures + result.errors
    ]
    failing += [test.id() for test in result.unexpectedSuccesses]
    known = _known_red()
    red = [name for name in failing if name in known]
    for name in red:
        print(f"known red: {name}")
    if not names:
        for name in sorted(known - set(failing)):
            print(f"listed in KNOWN-RED.txt but not failing: {name}")
    skipped = len(result.skipped)
    passed = result.testsRun - len(failing) - skipped
    sys.stdout.flush()
    print(f"{max(passed, 0)} passed, {len(failing)} failed")
    return 1 if len(failing) > len(red) or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(_run(sys.argv[1:]))
