#!/bin/sh
# Checks the stand-ins of cases 11 to 15. They are plain modules of Node's own libraries, which need no build.
set -eu
cd "$(dirname "$0")"
for file in standins-3/*.mjs 1[1-5]/*.mjs; do
  [ -f "$file" ] && node --check "$file"
done
echo "the stand-ins need no further build"
