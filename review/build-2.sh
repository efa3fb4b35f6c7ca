#!/bin/sh
# Builds the stand-ins and cases of the second review into target/review-2, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standin-2/main.rs
