"""Consensus after Raft: a replicated log among a few voters, its file, and the state machines on it.

Guarantee: every voter applies the same entries in the same order, and an entry that was committed is never
lost while a majority of the voters keep their disks. Failure mode: without a majority nothing is committed;
state that is already applied stays readable.
"""
