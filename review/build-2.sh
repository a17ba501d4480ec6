#!/bin/sh
# Builds the stand-ins of the second review's cases into target/review-2. Needs only the JDK.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2"
javac -Xlint:all -Werror -d "$root/target/review-2" "$root"/review/lib-2/*.java
