"""Policy changes that take effect on every server or on none, by two-phase commit over a replicated log.

A policy is a set of values, such as quotas and latency objectives, by which servers decide which RPCs to run
or reject. Each committed change of policy creates the next version. Guarantee: after the first server has
switched to a version, the other servers stop deciding by older versions within the configured overlap, and
all servers report the same outcome of a change. Failure mode: without a majority of voters no change is
committed, and the current version stays in force. Servers that set `when_cut_off` to "stand_aside" then go on
standby and run no RPCs.
"""
