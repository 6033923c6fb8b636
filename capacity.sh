#!/usr/bin/env bash
# Measures and plots the cost slopes of docs/capacity/router.md on this machine: single decisions, whole
# fleets of 6 to 48 routers, and one router with 54 to 504 streams.
#
#   ./capacity.sh        writes target/capacity/slopes.md and a plot for each slope
set -euo pipefail
cd "$(dirname "$0")"
out=target/capacity
mkdir -p "$out"
cargo build --release --quiet --bins

bin=target/release
"$bin/baobab-load" generate --site caroni --length-s 8 --out "$out/caroni.jsonl"

failed=0
replay() { # arguments: report file, then environment settings as VARIABLE=value
    local report=$1
    shift
    if ! env "$@" ./try.sh caroni "$out/caroni.jsonl" >"${report%.json}.txt"; then
        echo "a replay failed or broke a promise: see ${report%.json}.txt" >&2
        failed=1
    fi
    cp target/try/report.json "$report"
}

by_routers=
for routers in 6 12 24 48; do
    replay "$out/routers-$routers.json" ROUTERS="$routers"
    by_routers+=${by_routers:+,}$routers:$out/routers-$routers.json
done

by_streams=
for slots in 3 7 14 28; do
    replay "$out/slots-$slots.json" ROUTERS=1 SLOTS="$slots"
    by_streams+=${by_streams:+,}$((slots * 18)):$out/slots-$slots.json
done

"$bin/baobab-load" slopes --directory "$out" \
    --reports "routers=$by_routers" --reports "streams on one router=$by_streams"
exit "$failed"
