#!/bin/bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dandeliondoor ] && [ -x target/review-lab3 ] || { echo "build first"; exit 2; }
exec target/review-lab3 lost-counts review/12
