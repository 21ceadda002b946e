#!/bin/sh
# Builds the stand-ins of the second review; run after the build of the deploy file. Needs only rustc.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standins-2/main.rs
