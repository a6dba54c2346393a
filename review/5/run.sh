#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/sloeline-control-plane target/release/sloeline-data-plane target/review-2/case; do
  [ -x "$program" ] || { echo "$program is missing: build first"; exit 2; }
done
timeout 110 target/review-2/case late-beat target/release review/5
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
