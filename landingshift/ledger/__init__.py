"""Usage metering: stores, exports and reconciles what each tenant used in each billing period.

Guarantee: billed usage <= usage whose answer was received <= billed plus disputed usage. If no process was
killed, all three are equal. Failure mode: while the store can't commit and the queue is full, usage is
dropped, and the number of dropped records is stored as a gap. No usage is billed twice.
"""
