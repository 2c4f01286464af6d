# Functions that compare the files which a build reads with the Debian packages
# that it declares. Source this file.
#
# A clean machine has the base packages (essential or required ones, and apt) and
# what `apt-get install --no-install-recommends` adds for the declared packages.

source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/deploy-file"

# Copies the files of the checkout $1, those not committed yet too, to the new
# folder $2, as a clean machine gets them.
copy_checkout() {
  mkdir "$2"
  (cd "$1" && git ls-files -z --cached --others --exclude-standard -- ':!journal' |
    tar -c --null --ignore-failed-read -T -) | tar -x -C "$2"
}

# Prints the packages of a clean machine after the packages on standard input,
# one a line, have been installed. Of alternative dependencies the first one that
# is installed here counts. Fails if a declared package is not installed here.
clean_machine_packages() {
  local fields='${Package}\t${db:Status-Status}\t${Essential}\t${Priority}\t${Provides}\t${Pre-Depends}, ${Depends}\n'
  awk -F'\t' '
      function add(name) {
        if (!(name in closure)) { closure[name] = 1; queue[last++] = name }
      }
      function provider(name) {
        if (name in depends) return name
        return providers[name]
      }
      NR == FNR {
        if ($2 != "installed") next
        depends[$1] = $6
        if ($3 == "yes" || $4 == "required" || $1 == "apt") add($1)
        count = split($5, provided, /, */)
        for (i = 1; i <= count; i++) {
          sub(/[ (:].*/, "", provided[i])
          if (!(provided[i] in providers)) providers[provided[i]] = $1
        }
        next
      }
      $1 == "" { next }
      provider($1) == "" { print "the declared package " $1 " is not installed here" >"/dev/stderr"; failed = 1; next }
      { add(provider($1)) }
      END {
        while (first < last) {
          count = split(depends[queue[first++]], groups, /, */)
          for (i = 1; i <= count; i++) {
            alternatives = split(groups[i], names, / *\| */)
            for (j = 1; j <= alternatives; j++) {
              sub(/^ +/, "", names[j])
              sub(/[ (:].*/, "", names[j])
              if (names[j] == "") continue
              found = provider(names[j])
              if (found != "") { add(found); break }
            }
          }
        }
        for (name in closure) print name
        exit failed
      }' <(dpkg-query -W -f="$fields") -
}

# Prints "PATH<tab>PACKAGE" for each file of an installed package. Paths are
# those of a machine on which /bin, /sbin and /lib are links into /usr.
package_files() {
  awk '
    FNR == 1 { package = FILENAME; sub(/.*\//, "", package); sub(/\.list$/, "", package); sub(/:.*/, "", package) }
    { sub(/^\/(bin|sbin|lib|lib32|lib64|libx32)\//, "/usr&"); print $0 "\t" package }' /var/lib/dpkg/info/*.list
}

# Fills the folder $1 with links to the programs of the packages that are listed
# in the file $2. $3 is a file with the output of package_files.
link_programs() {
  local folder=$1 packages=$2 files=$3 program
  mkdir -p "$folder"
  for program in /usr/bin/* /usr/sbin/*; do
    printf '%s\t%s\n' "$program" "$(readlink -f "$program")"
  done | awk -F'\t' '
    FILENAME == ARGV[1] { declared[$1] = 1; next }
    FILENAME == ARGV[2] { if ($2 in declared) owned[$1] = 1; next }
    $2 in owned { print $1 }' "$packages" "$files" - | xargs ln -s -t "$folder"
}

# Reads paths on standard input and prints "PACKAGE: FILE" for each existing file
# whose package is not listed in the file $1. $2 is a file with the output of
# package_files; files below the folders $3... belong to the build itself.
undeclared_files() {
  local packages=$1 files=$2
  shift 2
  sort -u | while read -r path; do
    if [ -f "$path" ]; then readlink -f "$path"; fi
  done | sort -u | awk -F'\t' -v folders="$*" '
    BEGIN { count = split(folders, own, " ") }
    FILENAME == ARGV[1] { declared[$1] = 1; next }
    FILENAME == ARGV[2] { owner[$1] = ($1 in owner && owner[$1] in declared) ? owner[$1] : $2; next }
    {
      for (i = 1; i <= count; i++) if (index($1, own[i] "/") == 1) next
      if (!($1 in owner)) print "no package: " $1
      else if (!(owner[$1] in declared)) print owner[$1] ": " $1
    }' "$packages" "$files" - | sort
}

# Fails if the file $1, a list of paths, has none that contains one of the words
# $2...: then the list is not whole, and a comparison with it shows nothing.
check_list_whole() {
  local list=$1 word
  shift
  for word in "$@"; do
    grep -q -F -e "$word" "$list" || {
      echo "No $word among the files that the build read; the test shows nothing."
      return 1
    }
  done
}

# Prints the files that the cache of the CMake build folder $1 names.
cache_files() {
  sed -n 's/^[^#/][^=]*:\(FILEPATH\|PATH\|INTERNAL\|STRING\)=//p' "$1/CMakeCache.txt" | tr ';' '\n' | grep '^/'
}

# Prints the shared libraries that the programs $@ load.
loaded_libraries() {
  ldd "$@" | sed -n 's/.*=> \(\/[^ ]*\) .*/\1/p; s/^\t\(\/[^ ]*\) .*/\1/p'
}
