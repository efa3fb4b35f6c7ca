#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-standin-3 review/standin-3/main.rs
