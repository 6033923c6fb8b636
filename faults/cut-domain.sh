#!/usr/bin/env bash
# Partitions the third failure domain from the others for 15 s, 8 s into a replay.
set -euo pipefail
run=$1
link=$(sed -n 's/^admin_address = //p' "$run/link.ini")
domains=($(sed -n 's/^domain = //p' "$run"/router-*.ini | sort -u))
domain=$(sed -n 's/^domain = //p' "$run/router-6.ini" | head -1)
sleep 8
for other in "${domains[@]}"; do
    [ "$other" != "$domain" ] || continue
    curl -fs "http://$link/cut?from=$domain&to=$other"
    curl -fs "http://$link/cut?from=$other&to=$domain"
done
sleep 15
curl -fs "http://$link/heal"
