# Sourced by the cases' run.sh: runs the stand-in $stand_in with the gateway's command of the deploy file.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
command=$(sed -n 's/^run = "\(.*\)".*$/\1/p' deploy/balancer.toml)
program=build/review-2/$stand_in
if [ -z "$command" ] || [ ! -x "$program" ] || [ ! -x build/hollyrun ]; then
  echo "build the project and run review/build-2.sh first" >&2
  exit 2
fi
timeout -k 5 115 "$program" "$command" "$case_folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
