#!/usr/bin/env bash
# Plays the scripted case "handover"; see claim.txt. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec target/review-2 handover "$folder"
