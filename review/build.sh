#!/bin/sh
# Builds the stand-ins of the cases into review/bin.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for case in */case.c; do
  n=${case%/case.c}
  cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter \
    -Wno-unused-function -Wno-format-truncation -o "bin/case-$n" "$case" \
    -lpthread
done
