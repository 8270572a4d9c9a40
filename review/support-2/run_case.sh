#!/usr/bin/env bash
# Runs a case: run_case.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run.
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/case-$1
if [ ! -x target/jasminepier-node ] || [ ! -x "$program" ]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
timeout --kill-after=2 117 "$program" "review/$1/record.txt"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
