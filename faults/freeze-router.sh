#!/usr/bin/env bash
# Suspends the second router for 10 s, 8 s into a replay.
set -euo pipefail
pid=$(cat "$1/router-2.pid")
sleep 8
kill -STOP "$pid"
sleep 10
kill -CONT "$pid"
