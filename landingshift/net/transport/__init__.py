"""Sockets, time and numbered slots, all on one loop; knows no message."""
