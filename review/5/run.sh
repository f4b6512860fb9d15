#!/usr/bin/env bash
# Plays the case values-at-commit. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not be played. TROUBLE=0 leaves the
# disruption out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
exec target/standin values-at-commit "$folder/record.txt"
