#!/bin/bash
# Builds every stand-in that a case starts: the project's own store, and the cases' small ones, which use the standard
# library only. Where the packages of the project's stand-in are not at hand, the cases use a small store of their own.
cd "$(dirname "$0")/.." || exit 1
cargo build --release --locked -p chicoryrail-testkit --bin testkit-store \
    || echo "testkit-store could not be built: the cases use review/common/store.rs"
set -e
mkdir -p target/review
rustc --edition 2024 -O -A warnings review/common/store.rs -o target/review/store
for case in review/[1-5]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -A warnings "$case" -o "target/review/case-$number"
done
for part in planned refused forward chunked moved uploads accepted; do
    rustc --edition 2024 -O -A warnings "review/4/$part.rs" -o "target/review/case-4-$part"
done
rustc --edition 2024 -O -A warnings review/5/downloads.rs -o target/review/case-5-downloads
for trial in cold deadly early500 gone lengths pages reborn silent taken watch; do
    rustc --edition 2024 -O -A warnings "review/more/$trial.rs" -o "target/review/more-$trial"
done
