#!/bin/sh
# Exits with 1 if rule CONFIG was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same with heads in one part.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$here/../..
[ -x "$root/target/guavaford" ] && [ -x "$here/../bin/standin" ] || { echo "build first: the deploy file, then review/build.sh" >&2; exit 2; }
exec "$here/../bin/standin" -case head -program "$root/target/guavaford" -record "$here/record.txt"
