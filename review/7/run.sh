#!/usr/bin/env bash
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
# run. With TROUBLE=0 it plays without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/hatchplank-node target/review-probe; do
  [[ -x $program ]] || exit 2
done
exec target/review-probe lost-origins target/hatchplank-node review/7/record.txt
