#!/usr/bin/env bash
# Fails if a name of the users' platform stands outside its adapter.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Ibislift-|Server-L(imit|eaving)|/-/(instances|objects|readiness)|path-prefix|weighted-services|resource-type|warmup-left|heartbeat-uri|is-deleting|has-more|current-rev|slo-latency|non_idempotent'
if git grep -nE "$names" -- '*.go' ':!platform/'; then
  echo "names of the platform stand outside platform/" >&2
  exit 1
fi
