#!/usr/bin/env bash
# Builds the programs of the cases and the stand-ins that they start, into
# target/review. Needs the packages of the deploy file only, and no network.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B ../target/review >/dev/null
cmake --build ../target/review -j4
