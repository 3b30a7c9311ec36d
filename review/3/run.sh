#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0: without the disruption. Needs target/martentiller and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/martentiller ] && [ -x review/3/case ] || exit 2
exec review/3/case review/3/record.txt
