#!/usr/bin/env bash
# Builds the stand-ins of the second review: the scripts need nothing but Python 3.11 and
# its standard library, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib
import sys

assert sys.version_info >= (3, 11), sys.version
for path in [pathlib.Path("harness_2.py"), *sorted(pathlib.Path().glob("[0-9]*/case.py"))]:
    compile(path.read_text(), str(path), "exec")
END
