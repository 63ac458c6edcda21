#!/usr/bin/env bash
# Runs the case; exit code 1: the rule was broken, 0: it held, 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
exec java -Dsun.net.httpserver.nodelay=true -cp "$root/target/review" HugeGangCase "$root" "$here"
