#!/usr/bin/env bash
# Runs the script of a case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder="$(cd "$1" && pwd)"
root="$(cd "$folder/../.." && pwd)"
rm -f "$folder/record.txt"
for file in target/clementineloft.mjs packages/stand-ins/dist/emulator/emulated-store.js; do
  if [ ! -e "$root/$file" ]; then
    echo "could not run: $file is missing; run the build of deploy/system.toml and review/build.sh" | tee "$folder/record.txt"
    exit 2
  fi
done
node "$folder/run.js"
status=$?
# An error of the script itself also ends with status 1.
if [ "$status" -eq 1 ] && ! tail -n 1 "$folder/record.txt" 2>/dev/null | grep -q 'the rule was broken'; then status=2; fi
exit "$status"
