"""Entry point of the sidecar daemon: ``python -m cassiasail.sidecar``."""

import signal


def main() -> None:
    """Import and run the sidecar; SIGHUP is ignored meanwhile."""
    # The platform may send SIGHUP for new settings during the imports, and its default
    # action would end the process. The daemon reads the settings after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ._internal.sidecar.program import main as run_program

    run_program()


if __name__ == "__main__":
    main()
