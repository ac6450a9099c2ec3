#!/bin/sh
# Builds what the scripts start: the node, as the deploy file says. The stand-ins are
# part of the scripts and need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")/.."
[ target/deps -nt deploy/requirements.txt ] ||
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
for file in review/harness.py review/[0-9]/case.py; do
    [ ! -f "$file" ] || python3 -c "compile(open('$file').read(), '$file', 'exec')"
done
