"""Planned maintenance: servers leave one after the other within a disruption budget.

The leader of the consensus group issues permits (`coordinator`), each server leaves by its own permit only
(`agent`), and the requests outlive every leader in a replicated state machine (`replicated_state`).
"""
