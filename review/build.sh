#!/bin/sh
# Prepares the stand-ins of the cases. They are plain modules of node, so there is nothing to
# translate: the modules are only checked. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")"
for file in lib/*.js [0-9]/*.js; do
  node --check "$file"
done
