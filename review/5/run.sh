#!/usr/bin/env bash
# Plays the case beside this file; exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
dir="$(cd "$(dirname "$0")" && pwd)"
cd "$dir/../.." || exit 2
[ -e review/target/classes/LostCancel.class ] || exit 2
exec java -Xmx512m -cp "review/target/classes:target/platform/lib/*" LostCancel "$dir"
