#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0: without
# the disturbance.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/review-2
if [[ ! -x target/release/burdockcleat-node || ! -x $program ]]; then
  echo "run the build of the deploy file and review/build-2.sh first"
  exit 2
fi
"$program" refused-take-ups review/10
code=$?
[[ $code -le 1 ]] && exit "$code"
exit 2
