#!/usr/bin/env bash
# Builds every stand-in that a script of this folder starts. They are plain JavaScript modules for
# Node 20 without dependencies, so there is nothing to compile; their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
  node --check "$file"
done
