#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 and later start: those of the project, from its own sources. The others are plain JavaScript in lib-2.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/tsc --build
