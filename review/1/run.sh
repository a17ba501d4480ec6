#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
# KEEP_LOGS=1 keeps the controllers' logs in a temporary folder and prints its name.
cd "$(dirname "$0")" && exec timeout -k 5 118 python3 -B case.py
