#!/bin/sh
# Builds the stand-ins of the second review. They are Python and need the deploy file's .venv. Cases that run a
# `landingshift ledger` command also need the project's own extra `ledger`: from .ci-venv, which `make test`
# makes, or from an environment that is made here. Without either, those cases end with status 2.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m py_compile review/*_2.py review/*/case_2.py || exit 1
has_extra() { "$1/bin/python" -c "import click, google.protobuf, landingshift" 2>/dev/null; }
if has_extra .ci-venv || has_extra review/build/tools; then
    exit 0
fi
rm -rf review/build/tools
if python3 -m venv review/build/tools && review/build/tools/bin/pip -q install -e ".[ledger]"; then
    exit 0
fi
rm -rf review/build/tools
echo "the extra 'ledger' can't be installed: cases that need it will end with status 2"
