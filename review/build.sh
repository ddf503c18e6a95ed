#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the project's own emulators. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -b packages/stand-ins
for file in review/lib/*.js review/[1-5]/*.js; do
  [ -e "$file" ] || continue
  node --check "$file"
done
