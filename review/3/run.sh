#!/bin/sh
# The case of claim.txt. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 119 python3 case.py
