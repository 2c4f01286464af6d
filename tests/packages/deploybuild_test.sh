#!/usr/bin/env bash
# Guards against a deploy build that fails on a clean machine because it needs a
# package, a program or a variable that deploy/system.toml does not declare.
#
# Builds the files of a checkout (default: this one) with the build command of its
# deploy file, in a folder of their own, without the caller's environment and with
# only the programs of the declared packages on PATH. Then compares every file that
# the build found or read with the declared packages and what those depend on.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/packages.sh"
checkout=$(cd "${1:-$here/../..}" && pwd)

folder=$(readlink -f "$(mktemp -d)")
trap 'rm -rf "$folder"' EXIT
copy_checkout "$checkout" "$folder/source"
cd "$folder/source"
deploy_packages deploy/system.toml | clean_machine_packages >"$folder/packages"
package_files >"$folder/files"
link_programs "$folder/bin" "$folder/packages" "$folder/files"

# The linker writes which files it reads.
build=$(deploy_build_command deploy/system.toml)
status=0
env -i PATH="$folder/bin" HOME="$folder" LANG=C LDFLAGS=-Wl,--dependency-file=link.d \
  sh -c "$build" >"$folder/build.txt" 2>&1 || status=$?

# Prints the files that the build read: what CMake found and included, headers,
# what was linked, and the libraries that the program loads.
read_files() {
  cache_files target
  sed -n 's/^ *"\(\/.*\)"$/\1/p' target/CMakeFiles/Makefile.cmake
  { find target -name '*.o.d' -print0 && find target -name link.d -print0; } |
    xargs -0 cat | tr -s ' \\:' '\n' | grep '^/'
  loaded_libraries target/src/app/sapphiremoor
}
read_files >"$folder/read" 2>/dev/null || true
if [ "$status" -ne 0 ]; then
  tail -n 30 "$folder/build.txt"
  echo "The deploy build failed with status $status."
else
  check_list_whole "$folder/read" /c++ FindOpenSSL.cmake nlohmann/json.hpp /crti.o libcrypto.so libc.so.6 || status=1
fi
undeclared=$(undeclared_files "$folder/packages" "$folder/files" "$folder" <"$folder/read")
if [ -n "$undeclared" ]; then
  echo "The deploy build finds or reads files of packages that deploy/system.toml does not declare:"
  echo "$undeclared"
  echo "Declare the package there, or do not look for it without the tests."
  status=1
fi
[ "$status" -eq 0 ] && env -i target/src/app/sapphiremoor --version
exit "$status"
