"""``python -m cassiasail.sidecar``: the daemon on the users' platform."""

import signal


def main() -> None:
    """Load and run the daemon."""
    # The platform may tell of new settings while the modules load, and the default
    # action would end the process. It reads them anyway once it has started.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ._internal.sidecar.program import main as run_program

    run_program()


if __name__ == "__main__":
    main()
