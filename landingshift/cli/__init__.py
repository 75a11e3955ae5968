"""The command line program `landingshift`, with one module for each group of commands."""

import sys

EXIT_NOT_INSTALLED = 2


def start() -> None:
    """Runs the program; exits with status 2 and a hint if the optional dependency click is not installed."""
    try:
        from landingshift.cli.main import main
    except ModuleNotFoundError as err:
        if err.name != "click":
            raise
        sys.stderr.write("landingshift: the commands need the extra `cli`: pip install landingshift[cli]\n")
        sys.exit(EXIT_NOT_INSTALLED)
    main()
