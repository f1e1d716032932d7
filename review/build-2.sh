#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Run after the build of the deploy file, which empties target/.
set -eu
cd "$(dirname "$0")/.."
for number in 4 5 6 7 8; do
  if [ -f "review/$number/main.ts" ]; then
    npx --no-install esbuild "review/$number/main.ts" --bundle --platform=node --target=node20 \
      --format=cjs --log-level=warning --outfile="target/review/$number.cjs"
  fi
done
