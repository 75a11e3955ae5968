"""Encodes and decodes all messages. The names used on the wire occur only here; these modules use no sockets.

Each decoder returns the complete messages that precede malformed bytes before it reports the error.
"""
