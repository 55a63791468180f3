#!/usr/bin/env bash
# A prompt part that crashes engines, the 18th of 19. See claim.txt.
folder="$(cd "$(dirname "$0")" && pwd)"
exec bash "$folder/../harness-3/run.sh" poison-many-parts "$folder/record.txt"
