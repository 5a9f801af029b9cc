#!/usr/bin/env bash
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../standins/run.sh"
run_case "$folder" herd
