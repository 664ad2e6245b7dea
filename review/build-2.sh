#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/kit-2
