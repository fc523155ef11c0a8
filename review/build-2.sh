#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, besides the program of the
# deploy file: the cases' drivers and the project's stand-in for the store. Runs
# after the deploy file's build, whose libraries it links. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
mapfile -t libraries < <(find target/libraries -name 'lib*.a')
if [ ${#libraries[@]} -eq 0 ]; then
  echo "target/ holds no libraries: run the build of deploy/system.toml first" >&2
  exit 2
fi
read -r -a packages <<<"$(pkg-config --cflags --libs libcurl libmicrohttpd \
  jsoncpp libsodium libxxhash)"
g++ -std=c++20 -O1 -DBOOST_LOG_DYN_LINK -Wno-missing-field-initializers \
  -Ilibraries -Iutilities/standins \
  utilities/standins/standin_store.cc utilities/standins/standin_server.cc \
  utilities/standins/store_model.cc -o "$out/standin-store" \
  -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
  "${packages[@]}" -lgflags -lev -lboost_log -lboost_thread -lboost_filesystem \
  -lpthread
shopt -s nullglob
for driver in review/[6-9]/driver.cc review/1[0]/driver.cc; do
  number=$(basename "$(dirname "$driver")")
  g++ -std=c++20 -O1 -Wall -Wextra review/trial/*.cc "$driver" \
    -o "$out/case-$number" -lpthread
done
