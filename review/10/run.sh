#!/bin/bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
rig=../../target/review-2/rig2
[ -x "$rig" ] && [ -x ../../target/mangostage-gateway ] || { echo "build the gateway and review/build-2.sh first" >&2; exit 2; }
exec "$rig" open ../.. record.txt
