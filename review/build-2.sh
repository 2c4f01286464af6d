#!/usr/bin/env bash
# Builds the programs of the script cases 6 to 10, with their stand-ins, into
# review/kit-2/bin/.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf kit-2/bin
mkdir kit-2/bin
for number in 6 7 8 9 10; do
  [ -e "$number/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$number/case.cpp" -o "kit-2/bin/case-$number" &
done
wait
for number in 6 7 8 9 10; do
  [ ! -e "$number/case.cpp" ] || [ -x "kit-2/bin/case-$number" ]
done
