# Shared definitions, sourced by the other scripts.
top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
jobs=${ACACIANOTCH_JOBS:-$(nproc)}
# All checkouts share one compiler cache; CCACHE_BASEDIR and CCACHE_NOHASHDIR
# keep the checkout's path out of the cache keys.
export CCACHE_DIR=${CCACHE_DIR:-${HOME:-/root}/.cache/acacianotch-ccache}
export CCACHE_BASEDIR=$top
export CCACHE_NOHASHDIR=1

# configure FOLDER [CMAKE-ARGUMENT...]: generates a Ninja build in FOLDER.
configure() {
  local folder=$1
  shift
  cmake -S "$top" -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >/dev/null
}

# project_sources: lists the C++ sources, except generated code.
project_sources() {
  (cd "$top" && git ls-files --cached --others --exclude-standard \
    'src/*.h' 'src/*.cpp' 'test/*.h' 'test/*.cpp' 'bench/*.h' 'bench/*.cpp' |
    grep -v '^src/net/wire/' | sort -u)
}
