"""Entry point of ``python -m chiverun.platform``: runs an edge instance.

It does the same as ``chiverun platform serve`` without the libraries of the
command line, which would stay in the memory of each instance.
"""

import signal
import sys

from chiverun.core.errors import ChiverunError
from chiverun.platform.serve import serve_platform


def main() -> None:
    """Run until SIGTERM; on an error, exit like the command line."""
    # Nothing to reload yet; the default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        serve_platform()
    except ChiverunError as exc:
        print(f"error: {' '.join(str(exc).split())}", file=sys.stderr)
        sys.exit(int(exc.code) // 100)


if __name__ == "__main__":
    main()
