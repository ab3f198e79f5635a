#!/usr/bin/env bash
# With SCRIPT=lookups, the second form of the case. SCRIPT=all-killed shows another fault, which is no case (see REPORT-2.md).
cd "$(dirname "$0")/../.." || exit 2
exec node "review/7/${SCRIPT:-run}.js"
