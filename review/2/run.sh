#!/bin/sh
# Runs case 2; see claim.txt.
cd "$(dirname "$0")" && exec node run.js
