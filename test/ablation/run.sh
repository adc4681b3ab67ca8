#!/usr/bin/env bash
# Ablation test: checks that a test fails if the mechanism that it tests is disabled. Applies
# test/ablation/NAME.patch, which disables the mechanism, to a copy of HEAD and runs the test there.
# The lines "proof:" and "package:" of the patch hold the name of the test, as a regular expression,
# and its package, by default ./test. Exits with 0 if the test fails and with 1 if it passes or the code doesn't
# compile.
# SEEDS are the seeds of specs with random faults, separated by spaces, by default "1 2".
# usage: test/ablation/run.sh NAME [SEEDS]
set -euo pipefail
name=$1
seeds=${2:-"1 2"}
root=$(git rev-parse --show-toplevel)
patch=$root/test/ablation/$name.patch
focus=$(sed -n 's/^proof: //p' "$patch")
package=$(sed -n 's/^package: //p' "$patch")
package=${package:-./test}
# The packages below ./test have Ginkgo specs, the others plain Go tests.
case $package in
  ./test*) select=(-ginkgo.focus="$focus" -ginkgo.no-color -ginkgo.v) ;;
  *) select=(-run "$focus") ;;
esac
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git -C "$root" archive HEAD | tar -x -C "$copy"
patch -s -p1 -d "$copy" <"$patch"
if (cd "$copy" && SEEDS="$seeds" go test -count=1 "$package" "${select[@]}") >"$copy/out" 2>&1; then
  echo "$name: the test passes although its mechanism is disabled"
  exit 1
fi
if grep -q 'build failed' "$copy/out"; then
  echo "$name: the patched code doesn't compile"
  exit 1
fi
echo "$name: the test fails if its mechanism is disabled, seeds $seeds:"
grep -A2 -E '\[FAILED\] |^ +[a-z_]+_test.go:' "$copy/out" | grep -vE '^--|FAILED\] in \[|logs of' | head -12 || true
grep -E '^  submissions' "$copy/out" || true
