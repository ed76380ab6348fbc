#!/bin/sh
# Builds the stand-ins of the second review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
