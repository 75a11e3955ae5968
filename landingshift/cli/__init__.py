"""The `landingshift` command: thin, one file a group of sub-commands."""

import sys


def start() -> None:
    """The commands; exit status 2 where the extra `cli` is not installed, as on a server that only serves."""
    try:
        from landingshift.cli.main import main
    except ModuleNotFoundError as err:
        if err.name != "click":
            raise
        sys.stderr.write("landingshift: the commands need the extra `cli`: pip install landingshift[cli]\n")
        sys.exit(2)
    main()
