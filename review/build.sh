#!/bin/sh
# The stand-ins are plain Python without packages: nothing to build but a check that they compile.
cd "$(dirname "$0")" || exit 2
for file in standins.py */*.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
