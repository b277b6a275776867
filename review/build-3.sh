#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the program itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/rig
