#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. They are one Python module, which uses only the
# standard library, so that it is enough to check that it and the cases compile. Run after the build of
# deploy/service.toml.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in [*pathlib.Path("stand-ins").glob("*.py"), *pathlib.Path(".").glob("[4-8]/case.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
