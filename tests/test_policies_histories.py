"""Whole histories of policy changes in virtual time, with faults, and their checker."""

from __future__ import annotations

import unittest

from landingshift.testbed.experiments.policies import play_histories, play_search, play_virtual_row
from landingshift.testbed.experiments.policies_virtual_cases import VIRTUAL_ROWS
from landingshift.testbed.processes.history import without_pauses
from landingshift.testbed.verification.invariants import find_violations


class Histories(unittest.TestCase):
    def test_invariants_hold_under_random_faults(self) -> None:
        row = play_histories(0, 40, "")
        self.assertEqual(row.violations, [])
        self.assertGreater(row.figures["taken"], 40)

    def test_invariants_hold_in_each_scenario(self) -> None:
        for name in VIRTUAL_ROWS:
            with self.subTest(name=name):
                row = play_virtual_row(name, 4, 1, "")
                self.assertEqual(row.violations, [], row.figures)

    def test_invariants_hold_in_every_order_of_a_small_model(self) -> None:
        self.assertEqual(play_search(5, 4000, "").violations, [])
        for defence in ("lease", "ask"):
            self.assertIn("all_or_none", str(play_search(6, 12_000, defence).violations))

    def test_each_defence_taken_away_breaks_an_invariant(self) -> None:
        """The same histories without one part of the rules: an invariant must be seen to break."""
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


class Invariants(unittest.TestCase):
    """The checker itself."""

    def test_time_stopped_between_a_look_and_its_act_is_taken_off(self) -> None:
        stops = [("a", 1000.0, 6000.0), ("b", 1000.0, 6000.0)]
        for looked_at_ms, decided_at_ms, server, counted_at_ms in [
            (999.0, 6001.0, "a", 1001.0),  # what is left is the pass itself
            (999.0, 6300.0, "a", 1300.0),  # late in the pass for all that
            (6000.5, 6001.0, "a", 6001.0),  # it looked after it went on
            (1500.0, 6001.0, "a", 6001.0),  # while it stood still nobody looks: nothing is taken off
            (998.0, 999.0, "a", 999.0),
            (999.0, 6001.0, "c", 6001.0),  # nobody stopped it
        ]:
            with self.subTest(looked_at_ms=looked_at_ms, decided_at_ms=decided_at_ms, server=server):
                event = without_pauses((decided_at_ms, "decided", server, 0, b"", looked_at_ms), stops)
                self.assertEqual(event, (counted_at_ms, "decided", server, 0, b""))
        self.assertEqual(without_pauses((5.0, "left", "a", 1), stops), (5.0, "left", "a", 1))

    def test_each_broken_invariant_is_seen_and_a_sound_history_passes(self) -> None:
        for history, invariant in [
            ([(0, "decided", "a", 1, b"x"), (1, "decided", "b", 1, b"y")], "one_order"),
            ([(0, "decided", "a", 2, b"x"), (1, "end", "a", "c", "taken", 1)], "one_order"),
            ([(0, "decided", "a", 1, b"x"), (1500, "decided", "b", 0, b"")], "all_or_none"),
            ([(0, "decided", "a", 1, b"x"), (9, "decided", "a", 0, b"")], "no_way_back"),
            ([(0, "end", "a", "c", "taken", 1), (9, "end", "b", "c", "withdrawn", 0)], "one_answer"),
        ]:
            with self.subTest(history=history):
                self.assertTrue(any(invariant in text for text in find_violations(history, 1000.0)))
        sound = [
            (0, "decided", "a", 0, b""),
            (5, "decided", "a", 1, b"x"),
            (900, "decided", "b", 0, b""),
            (950, "decided", "b", 1, b"x"),
            (960, "end", "b", "c", "taken", 1),
        ]
        self.assertEqual(find_violations(sound, 1000.0), [])
