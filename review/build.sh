#!/usr/bin/env bash
# Builds the stand-ins of the scripts, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/scenario review/1/stand_ins/main.rs
