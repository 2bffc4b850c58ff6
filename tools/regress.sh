#!/bin/sh
# Plays the bench's panels in turn, each by its name: tools/regress.sh BENCH SITE [--quick]
# Fails when the bench is missing, a run ends badly, a rule is broken or a gateway faults. Not part of CI.
set -u
[ $# -ge 2 ] || { echo "usage: $0 BENCH SITE [--quick]" >&2; exit 2; }
bench=$1 site=$2
shift 2
[ -x "$bench" ] || { echo "$0: no bench at $bench" >&2; exit 2; }
[ -r "$site" ] || { echo "$0: no site file at $site" >&2; exit 2; }
report=$(mktemp) || exit 2
trap 'rm -f "$report"' EXIT
failed=0
for panel in main later; do
  # The bench plays the fleet days where no panel is named, and takes no name for them.
  name="--panel $panel"
  [ "$panel" = main ] && name=
  echo "panel $panel"
  # shellcheck disable=SC2086
  "$bench" score "$site" $name "$@" --why "Regression run of the $panel panel." >"$report" 2>&1
  code=$?
  cat "$report"
  if [ "$code" -ne 0 ]; then
    echo "panel $panel: the run ended with $code" >&2
    failed=1
  elif grep -Eq 'BROKEN|RULE|FAULT' "$report"; then
    echo "panel $panel: a rule is broken or a gateway faulted" >&2
    failed=1
  elif ! grep -q '^score of the real nodes' "$report"; then
    echo "panel $panel: no score" >&2
    failed=1
  fi
done
exit "$failed"
