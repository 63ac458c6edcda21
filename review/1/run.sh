#!/usr/bin/env bash
# Runs the case and writes record.txt beside this script.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
record="$here/record.txt"
if [ ! -f "$root/target/review/HugeGangCase.class" ] || [ ! -f "$root/target/meadowhollow.jar" ]; then
    echo "could not run: the build of the deploy file or review/build.sh is missing" | tee "$record" >&2
    exit 2
fi
exec java -Dsun.net.httpserver.nodelay=true -cp "$root/target/review" HugeGangCase "$root" "$record"
