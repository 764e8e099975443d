#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. Needs no network.
set -eu
cd "$(dirname "$0")/standin-2"
GOPROXY=off GOFLAGS=-mod=mod go build -o ../../target/review-2/standin-2 .
