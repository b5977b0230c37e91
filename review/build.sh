#!/bin/sh
# Prepares the cases, after the build of the deploy file. The stand-ins are Python programs that use the standard library
# alone, so building them only checks that they compile. Case 3 keeps a ledger: as in deploy/fair-share.toml, the
# program makes the key file for it, if there is none yet.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'END' || exit 1
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in [*pathlib.Path("review/lib").glob("*.py"), *pathlib.Path("review").glob("[0-9]/*.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(path, "compiles")
END
exec target/release/gannethub ledger key target/ledger.keys
