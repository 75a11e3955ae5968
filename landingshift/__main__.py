"""Runs a server, configured by the file that GW_CONFIG names; with arguments, runs an operator command."""

import signal
import sys

if len(sys.argv) > 1:
    from landingshift.cli import start

    start()
else:
    # By default SIGHUP would end the program while it imports its modules.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from landingshift.net.program.main import main

    sys.exit(main())
