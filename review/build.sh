#!/usr/bin/env bash
# Builds the node as deploy/system.toml does. The stand-ins are Python programs that need only the
# standard library, so there is nothing else to build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --package burdockcleat-platform
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
