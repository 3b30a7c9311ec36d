#!/bin/sh
# The short set of bench runs, in under five minutes.
set -eu
cd "$(dirname "$0")/.."
for run in "fair --seconds 8" "flood --seconds 6" "skew" "wake" \
  "failover --repeat 3" "overhead" "faults --repeat 5"; do
  echo "== $run"
  build/bench $run
done
