#!/usr/bin/env bash
# Runs all tests but those that KNOWN-RED.txt lists, which it prints. Arguments go to
# "go test"; packages begin with "./", and without any, all are tested.
#
# An entry names a test function, "TestName", or one spec of a suite, "TestName: its text";
# the suite's other specs run.
set -euo pipefail
cd "$(dirname "$0")/.."

flags=()
packages=()
for argument in "$@"; do
  case $argument in
    ./* | */...) packages+=("$argument") ;;
    *) flags+=("$argument") ;;
  esac
done
if ((${#packages[@]} == 0)); then packages=(./...); fi

listed=$(grep -vE '^(#|[[:space:]]*$)' KNOWN-RED.txt || true)
functions=()
declare -A specs=()
if [[ -n $listed ]]; then
  printf 'KNOWN RED, not run:\n%s\n' "$listed"
  while IFS='|' read -r test _; do
    test=$(sed 's/[[:space:]]*$//' <<<"$test")
    if [[ $test != *:* ]]; then
      functions+=("$test")
      continue
    fi
    file=$(grep -rl --include='*_test.go' "^func ${test%%:*}(" . | head -n 1)
    if [[ -z $file ]]; then
      echo "KNOWN-RED.txt: no test ${test%%:*}" >&2
      exit 2
    fi
    # Characters with a meaning in regular expressions match themselves.
    text=$(sed 's/[][().*+?^${}|\\]/\\&/g' <<<"${test#*: }")
    package=$(go list "$(dirname "$file")")
    specs[$package]+="${specs[$package]:+|}$text"
  done <<<"$listed"
fi
if ((${#functions[@]})); then
  flags+=(-skip "^($(IFS='|'; echo "${functions[*]}"))\$")
fi

others=()
suites=()
for package in $(go list "${packages[@]}"); do
  if [[ -v specs[$package] ]]; then suites+=("$package"); else others+=("$package"); fi
done
failed=0
if ((${#others[@]})); then go test "${flags[@]}" "${others[@]}" || failed=1; fi
for package in "${suites[@]}"; do
  go test "${flags[@]}" "$package" -ginkgo.skip "${specs[$package]}" || failed=1
done
exit $failed
