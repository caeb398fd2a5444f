"""What a sidecar does before it serves."""

import subprocess
import sys


def test_a_sidecar_starts_without_the_library() -> None:
    """Guards against an import that makes each restart a fifth longer."""
    program = (
        "import sys, cassiasail._internal.sidecar.program;"
        "sys.exit('prometheus_client' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", program]).returncode == 0


def test_a_sidecar_that_loads_ignores_sighup() -> None:
    """Guards against new settings that end a daemon before it has its handler.

    Found by the soak (seed 2, 10 s): the daemon was gone until it was started again.
    """
    program = (
        "import signal, sys, types;"
        "stub = types.ModuleType('cassiasail._internal.sidecar.program');"
        "ignored = lambda: signal.getsignal(signal.SIGHUP) is signal.SIG_IGN;"
        "stub.main = lambda: sys.exit(not ignored());"
        "sys.modules[stub.__name__] = stub;"
        "import cassiasail.sidecar;"
        "cassiasail.sidecar.main()"
    )
    assert subprocess.run([sys.executable, "-c", program]).returncode == 0
