#!/usr/bin/env bash
# Kills the first router found to dispatch a pool, 15 s into a replay.
set -euo pipefail
run=$1
sleep 15
for index in 1 2 3 4 5 6; do
    if grep -q "is now dispatched by this host" "$run/router-$index.log"; then
        echo "killing router $index at $(date +%T.%N)"
        kill -KILL "$(cat "$run/router-$index.pid")"
        exit 0
    fi
done
