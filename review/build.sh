#!/bin/sh
# Builds the stand-ins of the cases into target/review. Needs the Rust tool chain only; run it after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/test.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -o "target/review/case-$number" "$source"
done
