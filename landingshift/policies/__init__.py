"""Policy changes that take effect on every server or on none, by two-phase commit over a replicated log.

A policy sets values by which servers decide which RPCs to run or reject; each committed change creates the
next version. Guarantee: after the first server has switched to a version, no server decides by an older one
for longer than the configured overlap, and all servers report the same outcome of a change. Failure mode:
without a majority of voters no change is committed, and the version in force stays in force; servers with
`when_cut_off` set to "stand_aside" go on standby, in which they run no RPCs.
"""
