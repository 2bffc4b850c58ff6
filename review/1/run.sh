#!/bin/sh
# Runs the case of this folder after the build of the deploy file and review/build.sh. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
run=$(sed -n 's/^run = "\(.*\)".*/\1/p' "$root/deploy/balancer.toml")
program=$root/review/build/case-$(basename "$here")
[ -n "$run" ] && [ -x "$program" ] || exit 2
exec "$program" "$root" "$run" "$here"
