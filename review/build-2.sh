#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain JavaScript without dependencies: there is nothing to compile, so this only checks that each can be read.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
	if [ -f "$file" ]; then
		node --check "$file"
	fi
done
