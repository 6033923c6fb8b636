#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/baobab-gateway target/review-2/deadly_part; do
    [ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
CASE_DIR=review/10 exec target/review-2/deadly_part
