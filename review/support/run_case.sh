# Runs the program of a case from the root of the repository. Source this file after setting
# `program`. TROUBLE=0 leaves the disruption out.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
[ -x target/jasminepier-node ] && [ -x "review/build/$program" ] || { echo "build the deploy file and run review/build.sh first" >&2; exit 2; }
REVIEW_TEMPORARY=$(mktemp -d) || exit 2
export REVIEW_TEMPORARY
export REVIEW_RECORD=$case_folder/record.txt
"review/build/$program" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' INT TERM
wait "$pid"
status=$?
rm -rf "$REVIEW_TEMPORARY"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
