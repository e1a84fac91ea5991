#!/bin/sh
# Shows the case of claim.txt; see ../standins/drain_queue.rs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/cases drain-queue review/5
