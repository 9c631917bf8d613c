#!/bin/sh
# Builds the stand-ins and clients that all cases share. It needs the standard library alone.
set -eu
cd "$(dirname "$0")/rig"
cargo build --release --offline --locked
