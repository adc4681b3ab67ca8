#!/usr/bin/env bash
# Shows that a proof fails when its mechanism is switched off: applies a patch to a copy
# of the committed tree and runs the proof there. Succeeds if the proof fails.
# usage: test/ablation/run.sh NAME [SEEDS]
set -euo pipefail
name=$1
seeds=${2:-"1 2"}
root=$(git rev-parse --show-toplevel)
patch=$root/test/ablation/$name.patch
focus=$(sed -n 's/^proof: //p' "$patch")
package=$(sed -n 's/^package: //p' "$patch")
package=${package:-./test}
# Packages without specs take the name of a test.
case $package in
  ./test*) select=(-ginkgo.focus="$focus" -ginkgo.no-color -ginkgo.v) ;;
  *) select=(-run "$focus") ;;
esac
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git -C "$root" archive HEAD | tar -x -C "$copy"
patch -s -p1 -d "$copy" <"$patch"
if (cd "$copy" && SEEDS="$seeds" go test -count=1 "$package" "${select[@]}") >"$copy/out" 2>&1; then
  echo "$name: the proof passes without its mechanism"
  exit 1
fi
echo "$name: the proof fails without its mechanism, seeds $seeds:"
grep -A2 -E '\[FAILED\] |^ +[a-z_]+_test.go:' "$copy/out" | grep -vE '^--|FAILED\] in \[|logs of' | head -12 || true
grep -E '^  submissions' "$copy/out" || true
