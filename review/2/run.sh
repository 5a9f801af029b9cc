#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
export TROUBLE="${TROUBLE:-1}"
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
daemon=target/release/coltsfootd
program=target/review/limit
[ -x "$daemon" ] && [ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 115 "$program" "$daemon" "$case_folder/record.txt" "$folder"
status=$?
# Ends the daemons that are left if the program was ended.
for id in "$folder"/*/id; do
    [ -f "$id" ] && kill -9 "$(cat "$id")"
done
rm -rf "$folder"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
