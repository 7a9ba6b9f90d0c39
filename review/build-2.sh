#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the program of the deploy file. Their stand-ins are plain
# JavaScript in review/lib-2 and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs; do
    node --check "$file"
done
