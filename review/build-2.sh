#!/usr/bin/env bash
# Builds what the scripts of review/4, 5, 6 and 8 start besides the program of the deploy file. Their stand-ins
# (review/stand-ins-2) are plain modules of Node.js without dependencies, so there is nothing to compile: this only
# checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand-ins-2/*.mjs [4-8]/*.mjs; do
  node --check "$module"
done
