#!/usr/bin/env bash
# exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 serves all machines
cd "$(dirname "$0")" || exit 2
exec node play.mjs
