#!/usr/bin/env bash
# Runs the simulated fault schedules of claims and placement many more times than CI does.
# Usage: meta/long_runs.sh [BUILD_DIRECTORY] [CASES] [SEED]
set -eu
build=${1:-build}; cases=${2:-2000}; seed=${3:-$RANDOM}
echo "cases=$cases seed=$seed"
for name in claims_test placement_test; do
    RC_PARAMS="seed=$seed max_success=$cases" "$build/tests/$name" --gtest_brief=1
done
