#!/usr/bin/env bash
# Builds the program that plays the cases of the review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin ./review/standin
