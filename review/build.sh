#!/bin/sh
# The stand-ins of the scripts are plain JavaScript in review/lib: there is nothing to compile. Checks that they
# and the programs of the deploy file are there.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib/*.js review/[0-9]*/script.js; do
	node --check "$file" || exit 1
done
test -f target/entry.cjs || {
	echo 'target/entry.cjs is missing: run the build of deploy/system.toml' >&2
	exit 1
}
