#!/usr/bin/env bash
# Fails if a package under internal/ imports the adapter: platform/ may import internal/, but not the reverse.
cd "$(dirname "$0")/.." || exit 1
found=$(go list -f '{{.ImportPath}}: {{join .Imports " "}} {{join .TestImports " "}} {{join .XTestImports " "}}' ./internal/... |
  grep -E ' github.com/lagoonmill/lagoonmill/platform( |$)')
if [ -n "$found" ]; then
  echo "packages of the product import platform/:"
  echo "$found"
  exit 1
fi
