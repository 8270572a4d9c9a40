#!/usr/bin/env bash
# Checks the formatting, builds, lints and tests. CI runs this after installing the packages.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build}
sources=$(git ls-files '*.cpp' '*.hpp' | grep -v /generated/)
echo "== format"; printf '%s\n' "$sources" | xargs -r clang-format --dry-run --Werror
echo "== build"; cmake -S . -B "$build" -G Ninja >/dev/null && ninja -C "$build" | tail -n 3
# The tests wait most of the time, so the linter uses the idle processors.
echo "== lint and test"
meta/lint.sh "$build" >"$build/lint.txt" 2>&1 & lint_pid=$!
status=0
meta/test.sh "$build" || status=1
wait "$lint_pid" || { status=1; cat "$build/lint.txt"; echo "lint failed"; }
exit "$status"
