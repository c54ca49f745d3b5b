#!/usr/bin/env bash
# Runs case N on the programs of the deploy file: review/kit2/run.sh N
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/hyssop-platform-entry ] && [ -x "target/review-2/case-$1" ] || {
    echo "build with the deploy file's command and review/build-2.sh first" >&2
    exit 2
}
code=0
timeout 115 "target/review-2/case-$1" "review/$1/record.txt" || code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
