#!/usr/bin/env bash
# A page of the list of engines that holds nothing readable. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/scenario ] && [ -x target/release/fescuelockd ] || exit 2
exec target/review/scenario unreadable-page "$PWD" "$PWD/review/2"
