#!/usr/bin/env bash
# Runs case 6 after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -x target/review-2/case-6 ] || [ ! -x target/release/coltsfootd ]; then
    echo "build the deploy file's program and run review/build-2.sh first"
    exit 2
fi
timeout 115 target/review-2/case-6 "$folder"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
