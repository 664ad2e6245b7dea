#!/usr/bin/env bash
# Plays the case with daemons as processes of their own; see claim.txt. With TROUBLE=0
# it does the same without the disruption. KEEP_LOGS=FOLDER keeps the daemons' logs.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/ibislift ] && [ -x target/cases ] || { echo "build first: the deploy file, then review/build.sh"; exit 2; }
exec target/cases drain "$here/record.txt"
