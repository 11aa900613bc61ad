#!/bin/bash
# Builds what the cases start. The stand-ins are plain modules of Node.js: they are only checked, nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
