#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 no router is stopped.
# Two parts run side by side, each with a store and hosts of its own; their records follow one another.
cd "$(dirname "$0")/../.." || exit 2
dir="${RECORD_DIR:-review/5}"
parts="case-5 case-5-downloads"
for program in $parts; do
    [ -x "target/review/$program" ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
done
[ -x target/release/chicoryrail-router ] || { echo "run the build of the deploy file first"; exit 2; }
pids=()
trap 'kill "${pids[@]}"' INT TERM
for program in $parts; do
    target/review/$program "$dir" & pids+=($!)
done
broken=0 failed=0
for pid in "${pids[@]}"; do
    wait "$pid"
    code=$?
    [ $code = 1 ] && broken=1
    [ $code = 0 ] || [ $code = 1 ] || failed=1
done
cat "$dir/downloads.txt" >> "$dir/record.txt" && rm "$dir/downloads.txt"
[ $broken = 1 ] && exit 1
[ $failed = 0 ] || exit 2
