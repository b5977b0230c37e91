#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. They are one Python module, which uses only the
# standard library, so that it is enough to check that it compiles. Run after the build of deploy/service.toml.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for name in ["stand-ins/cluster.py"]:
    compile(open(name).read(), name, "exec")
'
