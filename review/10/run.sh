#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sableloom ] && [ -x review/rig-4/target/release/review-rig-4 ] || exit 2
folder=$(mktemp -d) || exit 2
review/rig-4/target/release/review-rig-4 stale-group target/release/sableloom "$folder" review/10/record.txt
code=$?
rm -rf "$folder"
exit "$code"
