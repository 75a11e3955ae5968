"""The `landingshift` command: thin, one module a group of commands."""

import sys

EXIT_NOT_INSTALLED = 2


def start() -> None:
    """Runs the command; status 2 where the extra `cli` is not installed, as on a server that only serves."""
    try:
        from landingshift.cli.main import main
    except ModuleNotFoundError as err:
        if err.name != "click":
            raise
        sys.stderr.write("landingshift: the commands need the extra `cli`: pip install landingshift[cli]\n")
        sys.exit(EXIT_NOT_INSTALLED)
    main()
