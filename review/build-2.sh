#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2/. Needs only the compiler that the
# deploy file names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
build_case() {
    g++ -std=c++20 -O1 -Wall -I . -o "target/review-2/case-$1" "review/$1/$2" -pthread
}
build_case 6 full_engine_leaves.cpp
build_case 7 restart_under_same_id.cpp
build_case 8 handover_to_leaving_engine.cpp
build_case 9 poison_after_herd_kill.cpp
build_case 10 error_bodies_without_end.cpp
