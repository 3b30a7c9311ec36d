#!/bin/sh
# Checks every property to the end of its state space, then shows that each
# can fail: a mutation of the model must be caught.
set -eu
cd "$(dirname "$0")"
out=../build/spec
mkdir -p "$out"

# check MODEL PROPERTY FLAGS -> prints states and errors
check () {
  model=$1 property=$2 flags=$3 dir=$out/$1-$2-$4
  rm -rf "$dir" && mkdir -p "$dir"
  cp "$model.pml" "$dir/model.pml"
  (cd "$dir" && spin -a $flags model.pml >/dev/null &&
    gcc -O2 -w -DMEMLIM=4096 -DNFAIR=4 -DVECTORSZ=2048 -o pan pan.c &&
    ./pan -a $5 -m200000 -N "$property" >pan.out 2>&1) || true
  grep -q "errors: " "$dir/pan.out" || { cat "$dir/pan.out"; exit 1; }
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.out")
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.out")
  truncated=$(grep -c "max search depth too small" "$dir/pan.out" || true)
}

bad=0
row () { # MODEL PROPERTY MUTATION PANFLAGS
  check "$1" "$2" "" whole "$4"
  if [ "$errors" = 0 ] && [ "$truncated" = 0 ]; then verdict=holds; else verdict=FAILS; bad=1; fi
  printf '%-8s %-14s %-10s states %s\n' "$1" "$2" "$verdict" "$states"
  check "$1" "$2" "-D$3" mutated "$4"
  if [ "$errors" = 0 ]; then verdict="NOT CAUGHT"; bad=1; else verdict=caught; fi
  printf '%-8s %-14s %-10s with %s\n' "$1" "$2" "$verdict" "$3"
}

row fleet atmostonce BREAK_CLAIM ""
row fleet nofalsenotrun BREAK_NOTRUN ""
row fleet leavesinpeace BREAK_LEAVING ""
row fleet served BREAK_STARVE "-f"
row config neverback BREAK_OLD ""
row config onewinner BREAK_CAS ""
exit $bad
