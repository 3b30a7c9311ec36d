#!/bin/sh
# Builds the stand-ins of the cases, and the two other programs that REPORT.md
# names, each beside its source.
set -e
cd "$(dirname "$0")"
for name in 1/case 2/case 3/case no-seal order-in-place; do
  gcc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter \
    -Wno-unused-function -Wno-format-truncation -o "$name" "$name.c" -lpthread
done
