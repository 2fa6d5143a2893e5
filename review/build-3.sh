#!/usr/bin/env bash
# Builds what the cases of the third review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/common-3
