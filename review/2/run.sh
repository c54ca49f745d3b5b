#!/usr/bin/env bash
# Case 2; see claim.txt.
exec "$(dirname "$0")/../common/run.sh" 2
