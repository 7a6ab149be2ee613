#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build/review-2. Needs the compiler of the deploy file's packages only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/src-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/$name" "$source"
done
