#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, besides the programs of
# the deploy file: the project's stand-in store and the checks. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/tools-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -j"$(nproc)"
cmake --build target/review-3 -j"$(nproc)" --target standin-store
