#!/bin/sh
# the stand-ins are plain JavaScript and need no build
exit 0
