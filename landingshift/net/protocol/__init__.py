"""Bytes to messages and back; knows no socket."""
