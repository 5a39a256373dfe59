#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for main in */main.cpp; do
  case=$(dirname "$main")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case-$case" "$main"
done
