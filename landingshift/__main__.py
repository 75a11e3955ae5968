"""One real server, configured by the file that GW_CONFIG names; with arguments, the operators' commands."""

import signal
import sys

if len(sys.argv) > 1:
    from landingshift.cli import start

    start()
else:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # by default it ends a program that is still being loaded

    from landingshift.net.program.main import main

    sys.exit(main())
