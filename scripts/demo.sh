#!/usr/bin/env bash
# Installs the locked dependencies if node_modules is missing, then runs the demo fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --no-audit --no-fund
exec node --import tsx scripts/demo.ts
