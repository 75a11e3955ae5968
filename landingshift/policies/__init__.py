"""Policy changes that hold on every server or on none: two-phase commit led from a replicated log.

Guarantee: once one server decides by version v, none decides by an older one for longer than the configured
overlap, and every server tells the same outcome of a change. Failure mode: without a majority of voters no
change passes; what is in force stays in force, unless servers are configured to stand aside.
"""
