#!/usr/bin/env bash
# Checks the format, builds, lints and tests. CI runs this after installing the packages.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build}
sources=$(git ls-files '*.cpp' '*.hpp' | grep -v /generated/)
echo "== format"; printf '%s\n' "$sources" | xargs -r clang-format --dry-run --Werror
echo "== build"; cmake -S . -B "$build" -G Ninja >/dev/null && ninja -C "$build" | tail -n 3
echo "== lint"; meta/lint.sh "$build"
echo "== test"; ctest --test-dir "$build" --output-on-failure -j 4
