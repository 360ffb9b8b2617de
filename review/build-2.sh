#!/bin/sh
# Builds the programs of the cases 6 to 10: stand-ins and clients, with the standard library only. No network is needed.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/bin-2"
for source in "$here"/src-2/case_*.rs; do
    rustc --edition 2024 -O -o "$here/bin-2/$(basename "$source" .rs)" "$source"
done
