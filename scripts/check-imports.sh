#!/usr/bin/env bash
# Fails where a package of the product imports the adapter: platform/ may know the product, never the other way round.
cd "$(dirname "$0")/.." || exit 1
found=$(go list -f '{{.ImportPath}}: {{join .Imports " "}} {{join .TestImports " "}} {{join .XTestImports " "}}' ./internal/... |
  grep -E ' github.com/lagoonmill/lagoonmill/platform( |$)')
if [ -n "$found" ]; then
  echo "packages of the product import platform/:"
  echo "$found"
  exit 1
fi
