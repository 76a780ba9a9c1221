#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the gateway, which the deploy file's build makes.
# Their stand-ins are plain JavaScript in review/lib-2, so that they are only checked to be readable.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/gateway.cjs ] || { echo "target/gateway.cjs is missing: run the build of deploy/system.toml first" >&2; exit 1; }
for file in review/lib-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do node --check "$file"; done
