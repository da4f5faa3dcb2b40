#!/usr/bin/env bash
# Builds the programs of the cases, with every stand-in that they start. The node program is built by
# the line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/doubled ./review/cutoff
