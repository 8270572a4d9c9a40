#!/usr/bin/env bash
# Builds the stand-ins of the review cases into review/build/.
set -eu
cd "$(dirname "$0")"
mkdir -p build
pids=()
for source in [1-5]/*.cpp; do
    [ -e "$source" ] || continue
    name=$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/$name" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
