#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are review/lib2/, which needs only the standard
# library: nothing is built, only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps/cassiasail ] || { echo "run the build of deploy/system.toml first"; exit 1; }
python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' review/lib2/deployment.py
