#!/usr/bin/env bash
# Case 4; see claim.txt.
exec "$(dirname "$0")/../common/run.sh" 4
