"""Policy changes that take effect on every server or on none, by two-phase commit over a replicated log.

Guarantee: once a server decides by version v, no server decides by an older version for longer than the
configured overlap, and all servers report the same outcome of a change. Failure mode: without a majority of
voters no change is committed, and the version in force stays in force; servers with `when_cut_off` set to
"stand_aside" go on standby.
"""
