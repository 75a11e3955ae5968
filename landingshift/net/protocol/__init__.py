"""Bytes to typed messages and back: the only modules that know names on the wire. Knows no socket.

Each decoder gives out the complete messages in front of malformed bytes before it reports those.
"""
