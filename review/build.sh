#!/bin/sh
# Builds the program under review and the stand-ins that the scripts start.
# The stand-ins use the standard library only, so no package is downloaded.
set -eu
cd "$(dirname "$0")/.."
[ -x target/release/wisteriaglade ] || cargo build --release --locked --offline --bin wisteriaglade
mkdir -p target/review
rustc --edition 2021 -O -o target/review/cases review/standins/main.rs
