#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md on this machine and draws them: the decisions alone, and
# whole fleets of 6 to 48 routers and of 54 to 504 streams on one router.
#
#   ./capacity.sh        writes target/capacity/slopes.md and a plot for each slope
set -euo pipefail
cd "$(dirname "$0")"
out=target/capacity
mkdir -p "$out"
cargo build --release --quiet --bins

bin=target/release
"$bin/baobab-load" generate --site caroni --length-s 8 --out "$out/caroni.jsonl"

by_routers=
for routers in 6 12 24 48; do
    ROUTERS=$routers ./try.sh caroni "$out/caroni.jsonl" >"$out/routers-$routers.txt"
    cp target/try/report.json "$out/routers-$routers.json"
    by_routers+=${by_routers:+,}$routers:$out/routers-$routers.json
done

by_streams=
for slots in 3 7 14 28; do
    ROUTERS=1 SLOTS=$slots ./try.sh caroni "$out/caroni.jsonl" >"$out/slots-$slots.txt"
    cp target/try/report.json "$out/slots-$slots.json"
    by_streams+=${by_streams:+,}$((slots * 18)):$out/slots-$slots.json
done

"$bin/baobab-load" slopes --directory "$out" \
    --reports "routers=$by_routers" --reports "streams on one router=$by_streams"
