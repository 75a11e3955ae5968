"""Entry point of `python -m landingshift.drill`, which serves the simulator on the standard streams."""

import sys

from landingshift.drill.adapter import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
