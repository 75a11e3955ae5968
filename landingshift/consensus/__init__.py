"""Raft consensus: a log replicated among a few voters, its file on disk, and the replicated state machines.

Guarantee: every voter applies the same entries in the same order, and a committed entry is never lost while a
majority of the voters keep their disks. Failure mode: without a majority nothing is committed; the state
applied so far stays readable.
"""
