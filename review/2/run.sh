#!/bin/sh
# Plays the case, writes record.txt beside this file, and exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
rig=../rig/target/release/review-rig
[ -x "$rig" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec "$rig" memory .
