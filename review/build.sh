#!/bin/sh
# Builds the stand-ins and the steps of the cases into target/review. The build of deploy/system.toml has to come first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -cp target/yuccaswitch.jar -d target/review review/standin/*.java review/[123]/*.java
