#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0: the same without the SIGTERM.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/release/lockusher-node ] && [ -x target/review-2/cases ] || exit 2
exec target/review-2/cases kept-connection "$folder"
