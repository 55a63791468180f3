#!/usr/bin/env bash
# Engines that leave before their first heartbeats, which are late, have arrived. See claim.txt.
folder="$(cd "$(dirname "$0")" && pwd)"
exec bash "$folder/../harness-3/run.sh" late-heartbeat "$folder/record.txt"
