#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts: the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-standin review/standin/main.rs
