#!/bin/sh
# Prepares the stand-ins of the cases, after the build of the deploy file. They are Python programs that use the standard
# library alone, so building them only checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'END'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in [*pathlib.Path("lib").glob("*.py"), *pathlib.Path(".").glob("[0-9]/*.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(path, "compiles")
END
