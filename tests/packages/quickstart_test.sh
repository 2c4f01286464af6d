#!/usr/bin/env bash
# Guards against a quickstart that fails on a clean machine because it needs a package
# or a program that scripts/install-packages does not install.
#
# Runs scripts/quickstart in this checkout, without the caller's environment and with
# only the programs of the packages on PATH. Then compares every file that its build
# found or read with the packages and what those depend on.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/packages.sh"
checkout=$(cd "$here/../.." && pwd)
cd "$checkout"

folder=$(readlink -f "$(mktemp -d)")
trap 'rm -rf "$folder"' EXIT
scripts/install-packages --list | clean_machine_packages >"$folder/packages"
package_files >"$folder/files"
link_programs "$folder/bin" "$folder/packages" "$folder/files"

status=0
env -i PATH="$folder/bin" HOME="$HOME" LANG=C scripts/quickstart >"$folder/quickstart.txt" 2>&1 || status=$?
tail -n 5 "$folder/quickstart.txt"
if [ "$status" -ne 0 ]; then
  echo "The quickstart failed with status $status."
fi

# Prints the files that the build read: what CMake found and included, headers,
# the words of the compile and link commands, and the libraries that the programs load.
read_files() {
  local build=build/release
  local programs=("$build/src/app/sapphiremoor" "$build/tests/standin/standin_backend")
  cache_files "$build"
  sed -n 's/^build build.ninja: RERUN_CMAKE | //p' "$build/build.ninja" | tr ' ' '\n'
  ninja -C "$build" -t deps | sed -n 's/^ *\//\//p'
  ninja -C "$build" -t commands "${programs[@]#"$build/"}" | tr ' ' '\n'
  loaded_libraries "${programs[@]}"
}
read_files >"$folder/read" 2>/dev/null || true
if [ "$status" -eq 0 ]; then
  check_list_whole "$folder/read" /c++ FindOpenSSL.cmake nlohmann/json.hpp libcrypto.so libc.so.6 || status=1
fi
undeclared=$(undeclared_files "$folder/packages" "$folder/files" "$folder" "$checkout" <"$folder/read")
if [ -n "$undeclared" ]; then
  echo "The quickstart finds or reads files of packages that scripts/install-packages does not install:"
  echo "$undeclared"
  status=1
fi
exit "$status"
