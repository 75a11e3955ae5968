"""Serves the simulator on the standard streams: `python -m landingshift.drill`."""

import sys

from landingshift.drill.adapter import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
