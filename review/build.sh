#!/bin/sh
# Builds the stand-ins that the scripts start, after the deploy file's own build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-standin review/standin/main.rs
