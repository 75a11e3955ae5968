"""An agreement among a few voters: one sequence of entries, and its journal. Packages keep books on it."""
