#!/bin/sh
# Builds the programs of the cases 11 to 15, with their stand-ins for clients,
# workers and the operator, into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.cpp; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread \
    -o "target/review-3/case-$number" "$case"
done
