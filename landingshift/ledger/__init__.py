"""Usage metering: who used what in which billing period; durable, exported once, reconciled.

Guarantee: billed usage <= usage whose answer was received <= billed and disputed usage; without a killed
process all three are equal. Failure mode: where the store can't commit and its queue is full, usage is
dropped, counted and recorded as a gap; it is never billed twice.
"""
