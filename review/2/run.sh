#!/usr/bin/env bash
# Exits with 1 if no request was served, 0 if some were, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review/release/case
[ -x "$program" ] || exit 2
exec "$program" foreign-entry "$folder"
