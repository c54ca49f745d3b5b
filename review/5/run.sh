#!/usr/bin/env bash
# Case 5; see claim.txt.
exec "$(dirname "$0")/../common/run.sh" 5
