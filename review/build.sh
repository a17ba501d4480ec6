#!/bin/sh
# The stand-ins are Python and need no build; this only checks that a Python that can run them is
# there (3.11 or later, standard library only).
exec python3 -c 'import asyncio, ctypes, tomllib'
