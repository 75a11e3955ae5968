"""An agreement among a few voters: one sequence of entries, and its journal. Rooms put their books on it."""
