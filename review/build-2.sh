#!/bin/sh
# Builds the cases of the second review with their stand-ins. Needs the toolchain alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings --crate-name cases_2 review/cases-2.rs -o target/review-2/cases-2
