#!/bin/sh
# Shows the case of claim.txt; see ../standins/three_cores.rs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/cases three-cores review/2
