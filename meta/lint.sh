#!/usr/bin/env bash
# Runs clang-tidy on the given files, or on every source file, in parallel. Outside CI it skips files
# that passed before, unless the file, any header or the configuration has changed since.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}; shift || true
files=${*:-$(git ls-files '*.cpp' | grep -v /generated/)}
mkdir -p "$build/lint"
headers_hash=$(git ls-files '*.hpp' .clang-tidy | xargs cat | sha256sum | cut -c1-16)
export build headers_hash
check_file() {
    stamp="$build/lint/$headers_hash-$(sha256sum <"$1" | cut -c1-16)"
    if [ "${CI:-}" != true ] && [ -e "$stamp" ]; then return 0; fi
    clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option \
        --extra-arg=-Wno-gnu-statement-expression "$1" 2>/dev/null && touch "$stamp"
}
export -f check_file
printf '%s\n' $files | xargs -P "$(nproc)" -I{} bash -c 'check_file {}'
