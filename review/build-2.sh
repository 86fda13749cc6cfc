#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 and later start. They need the compiler and the
# standard library only; the fleet's program is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
