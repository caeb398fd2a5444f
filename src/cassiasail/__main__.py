"""Runs the command line ``cassiasail`` as ``python -m cassiasail``."""

from ._internal.cli.main import main

if __name__ == "__main__":
    main()
