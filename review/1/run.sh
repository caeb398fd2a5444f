#!/bin/sh
# TROUBLE=0 leaves the disruption out. Exits with 1 if an order ran twice, 0 if none did, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONPATH=target/deps
exec python3 review/1/case.py
