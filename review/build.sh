#!/usr/bin/env bash
# Builds the stand-ins and the programs of the script cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf bin
mkdir bin
for unit in http worker deployment; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "kit/$unit.cpp" -o "bin/$unit.o" &
done
wait
for case in [0-9]*/case.cpp; do
  [ -e "$case" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case" bin/*.o -o "bin/case-$(dirname "$case")" &
done
wait
for case in [0-9]*/case.cpp; do
  [ ! -e "$case" ] || [ -x "bin/case-$(dirname "$case")" ]
done
