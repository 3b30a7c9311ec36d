#!/bin/sh
# Plays the days of kinds.txt on a site and prints one line a day.
# Usage: bench/days/play.sh PROGRAM SITE [NAME-PART] ; JOBS days at a time.
set -eu
program=$1 site=$2 part=${3:-}
here=$(dirname "$0")
out=$(mktemp -d)
write_day () {
  entries=$3 plan="" faults=""
  [ "$2" = plan ] && plan=$entries || faults=$entries
  cat >"$out/$1.toml" <<DAY
name = "$1"
seed = ${SEED:-1}
length_s = 22.0
closing = { kind = "${CLOSING:-kill_all}", down_s = 0.8 }
plan = [ $plan ]
faults = [ $faults ]
DAY
}
grep -v '^#' "$here/kinds.txt" | grep -- "$part" >"$out/list"
while IFS='|' read -r name where entries; do
  write_day "$(echo $name)" "$(echo $where)" "$entries"
done <"$out/list"
ls "$out"/*.toml | xargs -P "${JOBS:-6}" -I DAY sh -c \
  "$program run $site DAY --why 'own days: every kind' >DAY.log 2>&1 || true"
for log in "$out"/*.log; do
  name=$(basename "$log" .toml.log)
  row=$(grep -E "^$name +[0-9]" "$log" | head -1)
  echo "${row:-$name: not played: $(tail -1 "$log")}"
  grep -E "^[A-Z]+ at " "$log" | cut -c1-200 || true
done
echo "logs: $out"
