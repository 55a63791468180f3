#!/usr/bin/env bash
# A roll-out that is ordered again after it was reverted. See claim.txt.
folder="$(cd "$(dirname "$0")" && pwd)"
exec bash "$folder/../harness-3/run.sh" rollout "$folder/record.txt"
