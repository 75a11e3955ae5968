"""One real server; its configuration is the file that GW_CONFIG names."""

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)  # by default it ends a program that is still being loaded

from landingshift.net.program.main import main  # noqa: E402

sys.exit(main())
