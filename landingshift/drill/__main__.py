import sys

from landingshift.drill.adapter import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
