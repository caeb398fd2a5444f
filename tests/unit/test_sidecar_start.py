"""Startup of the sidecar: imports and signals."""

import subprocess
import sys


def test_sidecar_starts_without_importing_prometheus_client() -> None:
    """Guards against an import that makes each restart take a fifth longer."""
    program = (
        "import sys, cassiasail._internal.sidecar.program;"
        "sys.exit('prometheus_client' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", program]).returncode == 0


def test_sighup_is_ignored_during_the_imports() -> None:
    """Guards against a SIGHUP that ends the daemon before its handler is installed.

    Found by the soak test (seed 2, 10 s): the daemon was down until its next start.
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
