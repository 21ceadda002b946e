#!/bin/sh
# Builds the stand-ins of the review's scripts, with the standard library alone; the results go to target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/standins/case*.rs; do
    rustc --edition 2024 -O -A dead_code -o "target/review/$(basename "$case" .rs)" "$case"
done
