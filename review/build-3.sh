#!/usr/bin/env bash
# builds what the scripts of this review start beside the program of the deploy file: the stand-ins are plain JavaScript
# in lib-3 and need no build, so that only their syntax is checked
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
    node --check "$file"
done
