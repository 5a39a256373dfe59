# Settings that the scripts share. Source this file; do not run it.
top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
jobs=${ACACIANOTCH_JOBS:-$(nproc)}
# One compiler cache for all checkouts of the project.
export CCACHE_DIR=${CCACHE_DIR:-${HOME:-/root}/.cache/acacianotch-ccache}
export CCACHE_BASEDIR=$top
export CCACHE_NOHASHDIR=1

# configure FOLDER [CMAKE-ARGUMENT...]
configure() {
  local folder=$1
  shift
  cmake -S "$top" -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >/dev/null
}

# project_sources: the project's own C++ files, without generated code.
project_sources() {
  (cd "$top" && git ls-files --cached --others --exclude-standard \
    'src/*.h' 'src/*.cpp' 'test/*.h' 'test/*.cpp' 'bench/*.h' 'bench/*.cpp' |
    grep -v '^src/net/wire/' | sort -u)
}
