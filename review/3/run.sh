#!/usr/bin/env bash
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 plays it without the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cottonhost ] && [ -x target/review-stand ] || exit 2
exec target/review-stand lasting review/3/record.txt
