"""Encoders and decoders of all messages; the only modules that know names on the wire. They use no sockets.

Each decoder returns the complete messages that precede malformed bytes before it reports the error.
"""
