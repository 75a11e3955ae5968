"""Planned maintenance: takes servers out of service in turn, within a disruption budget.

The leader of the consensus group issues permits (`coordinator`). A server drains only under a permit issued
to it (`agent`). A replicated state machine (`replicated_state`) keeps the requests across leader changes.
"""
