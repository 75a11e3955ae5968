"""Policy changes that take effect on every server or on none, by two-phase commit over a replicated log.

A policy is a set of values, such as quotas and latency objectives, by which servers decide which RPCs to run
or reject. Each committed change of policy creates the next version. Guarantee: after the first server has
switched to a version, the other servers stop deciding by older versions within `overlap_ms`. All servers
report the same outcome of a change. Failure mode: without a majority of the voters (the servers that store
the log), no change is committed, and the current version stays in force. During that time, servers whose
`when_cut_off` is "stand_aside" go on standby and run no RPCs.
"""
