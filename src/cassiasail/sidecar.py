"""``python -m cassiasail.sidecar``: the daemon on the users' platform."""

from ._internal.sidecar.program import main

if __name__ == "__main__":
    main()
