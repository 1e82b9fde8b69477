#!/usr/bin/env bash
# Usage: run-case.sh CLASS FOLDER. Plays one case; TROUBLE=0 leaves its disruption out.
set -uo pipefail
cd "$(dirname "$0")/.."
[ -f "target/review/$1.class" ] || { echo "run review/build.sh first"; exit 2; }
java -Xmx512m -Drepository=. -Drecord="$2/record.txt" -cp "target/review:target/lib/*" "$1"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
