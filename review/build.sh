#!/bin/sh
# Builds the stand-ins of the review's cases into review/target. Needs the tool chain alone, no package.
set -eu
cd "$(dirname "$0")"
mkdir -p target
rustc --edition 2021 -O -A warnings -o target/standins standins.rs
