#!/bin/sh
# Runs case 1; see claim.txt.
cd "$(dirname "$0")" && exec node run.js
