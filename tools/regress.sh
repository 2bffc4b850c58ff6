#!/bin/sh
# usage: tools/regress.sh BENCH SITE [--quick]
# Runs the panels of the bench one after another. BENCH is the bench program, SITE a site file. Exits with 1 if a run
# fails, prints no score, breaks a rule or reports a gateway fault, and with 2 on wrong arguments. Not part of CI.
set -u
[ $# -ge 2 ] || { echo "usage: $0 BENCH SITE [--quick]" >&2; exit 2; }
bench=$1 site=$2
shift 2
[ -x "$bench" ] || { echo "$0: BENCH: $bench is not an executable file" >&2; exit 2; }
[ -r "$site" ] || { echo "$0: SITE: $site is not a readable file" >&2; exit 2; }
report=$(mktemp) || exit 2
trap 'rm -f "$report"' EXIT
failed=0
for panel in main later; do
  # The main panel consists of the fleet days, which the bench runs by default and for which --panel has no name.
  panel_option="--panel $panel"
  [ "$panel" = main ] && panel_option=
  echo "panel $panel"
  # shellcheck disable=SC2086
  "$bench" score "$site" $panel_option "$@" --why "Regression run of the $panel panel." >"$report" 2>&1
  bench_code=$?
  cat "$report"
  if [ "$bench_code" -ne 0 ]; then
    echo "panel $panel: the bench exited with code $bench_code" >&2
    failed=1
  elif grep -Eq 'BROKEN|RULE|FAULT' "$report"; then
    echo "panel $panel: the report contains a broken rule or a gateway fault" >&2
    failed=1
  elif ! grep -q '^score of the real nodes' "$report"; then
    echo "panel $panel: the report contains no line 'score of the real nodes'" >&2
    failed=1
  fi
done
exit "$failed"
