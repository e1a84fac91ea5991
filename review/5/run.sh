#!/bin/sh
# Shows the case of claim.txt; see ../standins/foreign_beat.rs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/cases foreign-beat review/5
