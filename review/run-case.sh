#!/usr/bin/env bash
# Usage: run-case.sh CLASS FOLDER. Plays one case; TROUBLE=0 leaves its disruption out.
set -uo pipefail
cd "$(dirname "$0")/.."
[ -f "target/review/$1.class" ] || { echo "run review/build.sh first"; exit 2; }
java -Xmx512m -Drepository=. -Drecord="$2/record.txt" -cp "target/review:target/lib/*" "$1"
code=$?
# 10 says that the rule broke; any other failure, an exception too, is a case that could not run.
case "$code" in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
