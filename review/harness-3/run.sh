#!/usr/bin/env bash
# Runs a case and ends all of its processes. Usage: run.sh CASE RECORD-FILE
set -um
cd "$(dirname "$0")/../.."
for program in target/release/burdockcleat-node target/review-3/harness; do
  [ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# The nodes are in the process group of the harness.
timeout --foreground 115 target/review-3/harness "$1" "$2" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' TERM INT HUP
wait "$group"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
