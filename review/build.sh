#!/bin/sh
# Builds the stand-ins of the cases, and the other scripts that REPORT.md
# names, into review/bin.
set -e
cd "$(dirname "$0")"
mkdir -p bin
build() {
  cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter \
    -Wno-unused-function -Wno-format-truncation -o "bin/$1" "$2" -lpthread
}
for n in 1 2 3; do build "case-$n" "$n/case.c"; done
for name in no-seal order-in-place; do build "$name" "other/$name.c"; done
