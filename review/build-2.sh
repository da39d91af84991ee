#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with the tool chain alone: one file each, and what they share. The gateway is
# built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/case.rs; do
  number=$(basename "$(dirname "$source")")
  rustc --edition 2021 -O -o "target/review-2/case-$number" "$source"
done
