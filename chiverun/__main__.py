"""Entry point of ``python -m chiverun``."""

from chiverun.cli import main

if __name__ == "__main__":
    main()
