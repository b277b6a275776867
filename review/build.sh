#!/usr/bin/env bash
# Builds the driver of the scripts, which holds all stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/drive
