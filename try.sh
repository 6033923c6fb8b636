#!/usr/bin/env bash
# Starts a site's stand-ins and six routers on loopback, replays a trace and writes a report.
#
#   ./try.sh [caroni|cascadia] [trace file]
#
# DISPATCH=shares selects the baseline dispatch. FAULT names a script to run during the replay.
# ROUTERS and SLOTS set the number of routers and the slots per engine.
set -euo pipefail
cd "$(dirname "$0")"

site=${1:-caroni}
trace=${2:-traces/$site.jsonl}
dispatch=${DISPATCH:-grants}
fault=${FAULT:-}
routers=${ROUTERS:-6}
slots=${SLOTS:-12}
out=target/try
run=$out/$site
bin=target/release

case $site in
caroni) base=21000 ;;
cascadia) base=23000 ;;
*)
    echo "try.sh: unknown site '$site'; expected caroni or cascadia" >&2
    exit 2
    ;;
esac

cargo build --release --quiet --bins

pids=()
stop() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}
trap stop EXIT

start() { # arguments: name, command...
    local name=$1
    shift
    "$@" 2>"$run/$name.log" >"$run/$name.out" &
    pids+=($!)
    echo $! >"$run/$name.pid"
}

rm -rf "$run"
mkdir -p "$run"
"$bin/baobab-standin" layout --site "$site" --directory "$run" --dispatch "$dispatch" \
    --routers "$routers" --slots "$slots"

start platform "$bin/baobab-standin" platform --address "127.0.0.1:$base"
start link "$bin/baobab-standin" link --conf "$run/link.ini"
for domain in 1 2 3; do
    start "engines-$domain" "$bin/baobab-standin" engine --conf "$run/engines-$domain.ini"
    start "service-$domain" "$bin/baobab-standin" service --address "127.0.0.1:$((base + 139 + domain))"
done
for ((router = 1; router <= routers; router++)); do
    start "router-$router" "$bin/baobab-router" --conf "$run/router-$router.ini"
done

for attempt in 1 2 3 4 5 6 7 8 9 10; do
    if "$bin/baobabctl" apply "$run/declarations.ini" --platform "127.0.0.1:$base" --by try.sh; then
        break
    fi
    [ "$attempt" -lt 10 ] || exit 1
    sleep 0.3
done

if [ -n "$fault" ]; then
    start fault bash "$fault" "$run" "$base"
fi
"$bin/baobab-load" replay --site "$site" --trace "$trace" --routers "$routers" \
    --report "$out/report.json"
