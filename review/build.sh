#!/bin/sh
# Builds the stand-ins and drivers of all cases with rustc and the standard library alone.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in src/case_*.rs src/further_*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2021 -O -o "bin/$name" "$source"
done
