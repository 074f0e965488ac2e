#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, with the parts of
# the project's lab that they use, in target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_CXX_FLAGS_RELEASE=-O2
cmake --build target/review-2 --target review_world \
  review_past_services review_many_routes
