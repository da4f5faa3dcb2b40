#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. It takes some 110 seconds.
set -uo pipefail
cd "$(dirname "$0")/../.."
for program in target/hatchplank-node target/review/doubled; do
  if [[ ! -x $program ]]; then
    echo "$program is missing: build deploy/system.toml and run review/build.sh" >&2
    exit 2
  fi
done
trouble=true
if [[ ${TROUBLE:-1} == 0 ]]; then trouble=false; fi
exec target/review/doubled -root . -record "${RECORD:-review/1/record.txt}" "-trouble=$trouble"
