#!/usr/bin/env bash
# Plays the case and writes what was sent, answered and run to record.txt in this folder. Exits with
# 1 if the rule was broken, with 0 if it held and with 2 if the case could not run. TROUBLE=0 leaves
# out the disruption.
cd "$(dirname "$0")/../.." || exit 2
record=review/11/record.txt
if [[ ! -x target/medlargrade || ! -x target/review3 ]]; then
	echo "target/medlargrade or target/review3 is not built" >"$record"
	exit 2
fi
exec target/review3 ends "$record"
