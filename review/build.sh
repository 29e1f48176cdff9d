#!/usr/bin/env bash
# The stand-ins of review/ are plain JavaScript without dependencies, so nothing is compiled; this only checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
	node --check "$file"
done
