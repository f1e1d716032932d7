#!/usr/bin/env bash
# One command on a fresh machine: install the locked dependencies, then run the demo fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --no-audit --no-fund
exec node --import tsx scripts/demo.ts
