#!/bin/sh
# TROUBLE=0 does the same without the disruption
TROUBLE="${TROUBLE:-1}" exec node "$(dirname "$0")/run.mjs"
