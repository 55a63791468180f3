#!/usr/bin/env bash
# A prompt part that crashes engines after the first event of an answer. See claim.txt.
folder="$(cd "$(dirname "$0")" && pwd)"
exec bash "$folder/../harness-3/run.sh" poison "$folder/record.txt"
