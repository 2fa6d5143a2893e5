#!/usr/bin/env bash
# Builds the program of each script, with the stand-ins that it starts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/...
