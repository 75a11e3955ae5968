"""Sockets, time and numbered slots; knows no message."""
