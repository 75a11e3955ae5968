"""The `landingshift` command: thin, one file a group of sub-commands."""
