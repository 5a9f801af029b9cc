#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review's scripts, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
rustc --edition 2024 -O --crate-type rlib --crate-name standins --out-dir "$out" review/standins-2/standins.rs
for number in 6 7 8 9 10; do
    if [ -f "review/$number/case.rs" ]; then
        rustc --edition 2024 -O --crate-name "case_$number" -L "$out" --extern "standins=$out/libstandins.rlib" \
            -o "$out/case-$number" "review/$number/case.rs"
    fi
done
