#!/bin/bash
# Not one of the cases: further faults. Runs the one that is named, `cold`, `deadly`, `early500`, `gone`, `lengths`, `pages`, `reborn`, `silent`, `taken` or `watch`. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the trial couldn't run. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
case "${1:-}" in cold|deadly|early500|gone|lengths|pages|reborn|silent|taken|watch) ;; *) echo "usage: run.sh cold|deadly|early500|gone|lengths|pages|reborn|silent|taken|watch"; exit 2 ;; esac
[ -x "target/review/more-$1" ] && [ -x target/release/chicoryrail-router ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
exec "target/review/more-$1" "${RECORD_DIR:-review/more}"
