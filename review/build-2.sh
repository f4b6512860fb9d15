#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which include the store, the links and the child processes of lab/. The program under test
# is built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
