#!/usr/bin/env bash
# Runs the case of a folder: common/run.sh N. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review/case-$1
[ -x "$program" ] && [ -x target/bin/hyssop-platform-entry ] || {
    echo "build first: the commands of deploy/system.toml, then review/build.sh" >&2
    exit 2
}
RECORD_FOLDER=review/$1 timeout -k 2 117 "$program"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
