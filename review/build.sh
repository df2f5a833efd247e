#!/bin/sh
# Builds the stand-ins of the review. They are Python programs that need nothing but its standard
# library, so it is enough that they compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 or later is needed")'
for source in lib/*.py [1-9]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
