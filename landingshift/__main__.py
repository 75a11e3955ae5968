"""One real server; its configuration is the file that GW_CONFIG names."""

import sys

from landingshift.net.program.main import main

sys.exit(main())
