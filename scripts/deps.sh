#!/bin/sh
# Installs what the build and the tests need, when something is missing.
set -eu
packages="gcc g++ make pkg-config libuv1-dev libhttp-parser-dev libmsgpack-dev libjansson-dev libargtable2-dev
  liblua5.4-dev libssl-dev libgtest-dev spin clang clang-format cppcheck libclang-rt-14-dev"
missing=""
for p in $packages; do
  dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
[ "$(id -u)" = 0 ] || { echo "missing:$missing; install them as root" >&2; exit 1; }
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
