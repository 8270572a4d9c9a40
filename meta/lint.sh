#!/usr/bin/env bash
# Runs clang-tidy on the given files, or on every source file, in parallel.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}; shift || true
files=${*:-$(git ls-files '*.cpp' | grep -v /generated/)}
printf '%s\n' $files | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet \
    --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-gnu-statement-expression 2>/dev/null
