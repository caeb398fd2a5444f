#!/bin/sh
# Compiles the stand-ins and the scripts; they need nothing but the standard library.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
