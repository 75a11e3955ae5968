"""Encodes and decodes all messages. Names on the wire occur only in these modules, which use no sockets.

Each decoder returns the complete messages that precede malformed bytes before it reports the error.
"""
