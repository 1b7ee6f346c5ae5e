#!/bin/sh
# Builds what cases 4 to 8 start beside the program itself: the project's stand-ins, and the driver of
# each case, which speaks for users, workers, the cloud and the key-value store. Runs after the build
# of deploy/service.toml, from whose libraries it links; it uses the same packages and no others, and
# needs neither the tests' build, nor the repository's history, nor review/build.sh.
set -eu
cd "$(dirname "$0")/.."

out=target/review-2
modules="libsoup-3.0 glib-2.0 gio-2.0 libcbor libtirpc"
layers="election runtime settings protocol base"
sources="review/harness-2.c"
for name in environment key-value-store key-value-requests cloud machine worker-runtime gang-runtime \
  worker-protocol workload rule-checks; do
  sources="$sources tests/stand-in/$name.c"
done
libraries=""
for layer in $layers; do
  libraries="$libraries target/libminthill-$layer.a"
done

mkdir -p "$out"
for driver in review/[4-8]/driver.c; do
  number=$(basename "$(dirname "$driver")")
  # shellcheck disable=SC2046,SC2086
  cc -O1 -g -std=gnu11 -pthread -DG_LOG_DOMAIN='"minthill"' -DG_LOG_USE_STRUCTURED \
    -Ireview -Itests -Isrc -Itarget/gen $(pkg-config --cflags $modules) \
    -o "$out/case-$number" "$driver" $sources $libraries \
    $(pkg-config --libs $modules) -lconfuse -lstdc++ -lm
done
