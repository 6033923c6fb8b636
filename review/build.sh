#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
