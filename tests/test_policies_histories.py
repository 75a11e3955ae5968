"""Tests of policy changes with faults in simulated time, and of the checker of their histories."""

from __future__ import annotations

import unittest

from landingshift.testbed.experiments.policies import play_histories, play_search, play_virtual_row
from landingshift.testbed.experiments.policies_virtual_cases import VIRTUAL_ROWS
from landingshift.testbed.processes.history import without_pauses
from landingshift.testbed.verification.invariants import find_violations


class HistoriesTest(unittest.TestCase):
    def test_invariants_hold_under_random_faults(self) -> None:
        row = play_histories(0, 40, "")
        self.assertEqual(row.violations, [])
        self.assertGreater(row.figures["taken"], 40)

    def test_invariants_hold_in_each_scenario(self) -> None:
        for name in VIRTUAL_ROWS:
            with self.subTest(name=name):
                row = play_virtual_row(name, 4, 1, "")
                self.assertEqual(row.violations, [], row.figures)

    def test_search_of_a_small_model_finds_violations_only_without_a_defence(self) -> None:
        self.assertEqual(play_search(5, 4000, "").violations, [])
        for defence in ("lease", "ask"):
            self.assertIn("all_or_none", str(play_search(6, 12_000, defence).violations))

    def test_removing_a_defence_violates_its_invariant(self) -> None:
        """Plays histories without one of the protocol's defences; the checker must report a violation."""
        for defence, scenario, invariant in [
            ("lease", "", "all_or_none"),
            ("ask", "", "no_way_back"),
            ("arm", "", "all_or_none"),
            ("sure", "leader_wakes", "all_or_none"),
            ("disk", "forgets", "one_"),
        ]:
            with self.subTest(defence=defence):
                row = (
                    play_virtual_row(scenario, 20, 1, defence) if scenario else play_histories(0, 30, defence)
                )
                self.assertTrue(any(invariant in text for text in row.violations), row.violations[:5])


class InvariantsTest(unittest.TestCase):
    """Tests of the checker itself."""

    def test_pause_between_check_and_decision_is_subtracted_from_the_decision_time(self) -> None:
        pauses = [("a", 1000.0, 6000.0), ("b", 1000.0, 6000.0)]
        for checked_at_ms, decided_at_ms, server, expected_at_ms in [
            (999.0, 6001.0, "a", 1001.0),  # only the time of the pass itself remains
            (999.0, 6300.0, "a", 1300.0),  # the rest of the pass took long even without the pause
            (6000.5, 6001.0, "a", 6001.0),  # checked after the pause
            (1500.0, 6001.0, "a", 6001.0),  # a check during the pause is impossible: nothing is subtracted
            (998.0, 999.0, "a", 999.0),
            (999.0, 6001.0, "c", 6001.0),  # this server was not paused
        ]:
            with self.subTest(checked_at_ms=checked_at_ms, decided_at_ms=decided_at_ms, server=server):
                event = without_pauses((decided_at_ms, "decided", server, 0, b"", checked_at_ms), pauses)
                self.assertEqual(event, (expected_at_ms, "decided", server, 0, b""))
        self.assertEqual(without_pauses((5.0, "left", "a", 1), pauses), (5.0, "left", "a", 1))

    def test_violation_of_each_invariant_is_found_and_a_valid_history_passes(self) -> None:
        for history, invariant in [
            ([(0, "decided", "a", 1, b"x"), (1, "decided", "b", 1, b"y")], "one_order"),
            ([(0, "decided", "a", 2, b"x"), (1, "end", "a", "c", "taken", 1)], "one_order"),
            ([(0, "decided", "a", 1, b"x"), (1500, "decided", "b", 0, b"")], "all_or_none"),
            ([(0, "decided", "a", 1, b"x"), (9, "decided", "a", 0, b"")], "no_way_back"),
            ([(0, "end", "a", "c", "taken", 1), (9, "end", "b", "c", "withdrawn", 0)], "one_answer"),
        ]:
            with self.subTest(history=history):
                self.assertTrue(any(invariant in text for text in find_violations(history, 1000.0)))
        valid_history = [
            (0, "decided", "a", 0, b""),
            (5, "decided", "a", 1, b"x"),
            (900, "decided", "b", 0, b""),
            (950, "decided", "b", 1, b"x"),
            (960, "end", "b", "c", "taken", 1),
        ]
        self.assertEqual(find_violations(valid_history, 1000.0), [])
