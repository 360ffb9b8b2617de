#!/bin/sh
# Case 10; see claim.txt. TROUBLE=0 runs it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec sh "$here/../src-2/run-case.sh" "$here" case_10
