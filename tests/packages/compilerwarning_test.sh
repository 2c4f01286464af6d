#!/usr/bin/env bash
# Guards against a deploy build that fails because the compiler of a machine warns of
# something that the compilers of the developers do not warn of.
#
# Configures the files of a checkout (default: this one) as its deploy file does, and
# compiles one library with a warning in each file.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/packages.sh"
checkout=$(cd "${1:-$here/../..}" && pwd)

folder=$(readlink -f "$(mktemp -d)")
trap 'rm -rf "$folder"' EXIT
copy_checkout "$checkout" "$folder/source"
cd "$folder/source"
echo '#warning "a warning of another compiler"' >"$folder/warning.h"

configure=$(deploy_build_command deploy/system.toml | sed 's/ *&&.*//')
CXXFLAGS="-include $folder/warning.h" sh -c "$configure" >"$folder/build.txt" 2>&1 || {
  tail -n 30 "$folder/build.txt"
  exit 1
}
status=0
cmake --build target --target core >"$folder/build.txt" 2>&1 || status=$?
grep -q 'a warning of another compiler' "$folder/build.txt" || {
  echo "The compiler did not warn, so the test shows nothing."
  status=1
}
if [ "$status" -ne 0 ]; then
  tail -n 10 "$folder/build.txt"
  echo "A warning ends the deploy build."
fi
strict=$(grep -c -e ' -Werror' target/compile_commands.json) || true
if [ "$strict" -ne 0 ]; then
  echo "The deploy build compiles $strict files with -Werror."
  status=1
fi
exit "$status"
