#!/usr/bin/env bash
# Compiles the drivers of the cases, which contain the stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
for driver in review/[123]/main.ts; do
  [ -e "$driver" ] || continue
  n=$(basename "$(dirname "$driver")")
  node_modules/.bin/esbuild "$driver" --bundle --platform=node --target=node20 --format=esm \
    --log-level=warning --outfile="target/review/$n.mjs"
done
