"""Tests outer names that other golden tests omit: settings, peer messages, reason codes and the simulator."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import random
import unittest
from collections.abc import Callable
from enum import Enum
from typing import Any

from landingshift.coldstart import wire as coldstart_wire
from landingshift.drill.adapter import Adapter
from landingshift.maintenance import wire as maintenance_wire
from landingshift.net.program.config import decode_config
from landingshift.net.program.config_errors import ServerConfigError
from landingshift.net.protocol import database, engine, gateway
from landingshift.net.protocol.lines import MAX_LINE_BYTES, ProtocolError
from landingshift.policies import wire as policies_wire
from landingshift.settings import SettingsError, decode_settings
from tests.golden_files import assert_golden_json

OUTCOMES = [
    "served", "server_error", "turned_away", "no_answer", "no_connection", "connection_lost", "called_off",
    "not_sent",
]  # fmt: skip

# Every key of the settings, with a value that differs from its default.
METHOD = {
    "name": "m", "effect": "dedup", "slo": 801.0, "aim-stretch": 4.5, "give-up": 3001.0, "value": 1.5,
    "late-share": 0.25, "repeat-window": 5001.0,
}  # fmt: skip
EXTRA = {
    "n-cores": 3, "memory-kb": 90001.0, "run-factor": 8.5, "key-kb": 1.25, "share-for": 12.0, "callers": 7,
    "cold": True, "halt": "drop", "depends-on": "shared", "calls-out": 51.0, "calls-over": 5002.0,
    "linger": 101.0, "say": "credit", "passes-deadline": True, "caller-idle": 30001.0, "class-calls": [True],
    "class-skip-worth": [0.5], "gauges": ["core_use", "links"], "deep-checks": True,
}  # fmt: skip
SETTINGS: dict[str, Any] = {
    "classes": [METHOD],
    "extra": EXTRA,
    "rules": {"cold-from": 0.2, "cold": 9001.0, "drain-grace": 301.0, "tip-multiple": 8.5},
    "orgs": [{"name": "t", "allowance-per-s": 1001.0}],
    "over-share-worth": 0.75,
    "worth-by": "work",
    "peers-total": 9,
    "clients": {"marks-retry": True},
    "permissions": {"retry-after": True, "max-retry-after": 1002.0},
}
CONFIG: dict[str, Any] = {
    "name": "n3", "listen": "127.0.0.1:7001", "engine": "127.0.0.1:9300", "db": "127.0.0.1:5432",
    "roster": "127.0.0.1:8761", "seed": "8c1f30d27a5be964", "stop_ms": 1501.0,
    "limits": {"memory_mb": 65, "sockets": 257}, "settings": SETTINGS,
}  # fmt: skip
CHOICES = {
    "effect": ["retryable", "dedup", "fragile"],
    "halt": ["silent", "drop", "pause"],
    "depends-on": ["silent", "shared", "tier"],
    "say": ["silent", "level", "credit", "weight"],
}


def values_of(item: Any) -> Any:
    """Returns the field values in order, without the names that the fields have in the code."""
    if isinstance(item, Enum):
        return item.value
    if dataclasses.is_dataclass(item):
        return [values_of(getattr(item, field.name)) for field in dataclasses.fields(item)]
    if isinstance(item, dict):
        return {key: values_of(value) for key, value in item.items()}
    if isinstance(item, list | tuple):
        return [values_of(value) for value in item]
    return item


def replace_at(data: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Returns a copy of nested JSON with another value at `path`."""
    if not path:
        return value
    copy = dict(data) if isinstance(data, dict) else list(data)
    copy[path[0]] = replace_at(copy[path[0]], path[1:], value)
    return copy


def leaf_paths(data: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths of all values in nested JSON that are neither objects nor lists."""
    if isinstance(data, dict):
        return [leaf for key, value in data.items() for leaf in leaf_paths(value, (*path, key))]
    if isinstance(data, list):
        return [leaf for index, value in enumerate(data) for leaf in leaf_paths(value, (*path, index))]
    return [path]


def key_at_fault(decode: Callable[[], Any]) -> str | None:
    """Returns the key that the error of `decode` names; None if there is no error."""
    try:
        decode()
    except (SettingsError, ServerConfigError) as err:
        return str(err).partition(": ")[0]
    return None


class SettingsKeysTest(unittest.TestCase):
    def test_every_key_is_decoded(self) -> None:
        found: dict[str, Any] = {
            "settings": values_of(decode_settings(SETTINGS)),
            "configuration": values_of(decode_config(CONFIG, {})),
        }
        unnamed = {key: value for key, value in CONFIG.items() if key not in ("name", "listen")}
        env = {"GW_NAME": "n9", "GW_LISTEN": "127.0.0.1:7009"}
        found["environment"] = values_of(decode_config(unnamed, env))
        for path in leaf_paths(SETTINGS):
            without_key = replace_at(SETTINGS, path, None)
            key = key_at_fault(lambda data=without_key: decode_settings(data))  # type: ignore[misc]
            found[f"without {path}"] = key or values_of(decode_settings(without_key))
        for key, choices in CHOICES.items():
            path = ("classes", 0, key) if key == "effect" else ("extra", key)
            for choice in choices:
                found[f"{key} {choice}"] = values_of(decode_settings(replace_at(SETTINGS, path, choice)))
        assert_golden_json(self, "settings_read.json", found)

    def test_errors_name_the_key(self) -> None:
        found = {}
        for path in leaf_paths(CONFIG):
            for value in (None, {}, -1.0, "no such word"):
                data = replace_at(CONFIG, path, value)
                key = key_at_fault(lambda data=data: decode_config(data, {}))  # type: ignore[misc]
                found[f"{path} {value!r}"] = key
        assert_golden_json(self, "settings_keys_at_fault.json", found)


class PeerMessagesTest(unittest.TestCase):
    """Decodes messages of an earlier build, each kind to a type of its own, and encodes them unchanged."""

    POLICIES: tuple[list[Any], ...] = (
        ["vote", b"raft"],
        ["do", "c1", "propose", b"policy", "me", "why"],
        ["do", "c1", "withdraw", "me", "why"],
        ["do", "c1", "voters", "add", "n4"],
        ["do", "c1", "voters", "remove", "n4"],
        ["do", "c1", "gone", "n4", 11],
        ["do", "c1", "find"],
        ["do", "c1"],
        ["bye", 11],
        ["found", "c1", "committed", 3, "why", [["n4", "armed"]]],
        ["here", 11, 5, 3, "c1", "armed", "why", [1, 2], True],
        ["here", 0, 5],
        ["told", 5, True, 3, "c1", "check", [], True, ["n1", "n2"]],
        ["told", 5, True, 3, "c1", "arm", ["c0", "withdrawn", 2, "why"], False, ["n1"]],
        ["told", 5, True, 3, "", "", [], False, ["n1"]],
        ["ask", 5, "n1"],
        ["no", 5, "full"],
        ["look"],
        ["want", "c1", 3],
        ["text", "c1", 3, b"policy"],
    )
    COLD_START: tuple[list[Any], ...] = (
        ["ask", 1, 2.5, 3.5, 4, 1.0, 1, 6.5, 0.5, 8.5],
        ["give", 1, 2.5, 3, 1.0, 4.5],
    )
    MAINTENANCE: tuple[list[Any], ...] = (
        ["at", 1, 100.0, "a", True, 0.5, 20.0, 3, 4, 5.0, 6.0],
        ["told", 1, "permitted", 3, 1500.0],
        ["told", 2, "", 0, 0.0],
    )

    def test_package_names(self) -> None:
        names = [coldstart_wire.PACKAGE, maintenance_wire.PACKAGE]
        self.assertEqual(names, ["cold", "upkeep"])

    def test_policy_messages(self) -> None:
        for body in self.POLICIES:
            with self.subTest(body=body):
                self.assertEqual(policies_wire.encode_message(policies_wire.decode_message(body)), body)
        rows = [values_of(policies_wire.decode_message(body)) for body in self.POLICIES]
        types = [type(policies_wire.decode_message(body)) for body in self.POLICIES]
        commands = [policies_wire.decode_operator_command(body[2:]) for body in self.POLICIES[1:8]]
        self.assertEqual(len(set(types)), 12)
        self.assertEqual(len({type(command) for command in commands}), 6)
        assert_golden_json(self, "policy_messages.json", {"rows": rows})

    def test_cold_start_messages(self) -> None:
        request, grant = map(coldstart_wire.decode, self.COLD_START)
        assert isinstance(request, coldstart_wire.ColdStartRequest)
        assert isinstance(grant, coldstart_wire.ColdStartGrant)
        self.assertEqual(coldstart_wire.encode_request(request), self.COLD_START[0])
        self.assertEqual(coldstart_wire.encode_grant(grant), self.COLD_START[1])

    def test_maintenance_messages(self) -> None:
        report, answer, empty = map(maintenance_wire.decode_message, self.MAINTENANCE)
        assert isinstance(report, maintenance_wire.LoadReport)
        self.assertEqual(maintenance_wire.encode_report(report), self.MAINTENANCE[0])
        for decoded, body in ((answer, self.MAINTENANCE[1]), (empty, self.MAINTENANCE[2])):
            assert isinstance(decoded, maintenance_wire.ReportAnswer)
            self.assertEqual(maintenance_wire.encode_answer(decoded), body)


class ProtocolErrorsTest(unittest.TestCase):
    RPC_ID = b"00000000000000ab"

    def reason(self, feed: Callable[[], Any]) -> str:
        with self.assertRaises(ProtocolError) as raised:
            list(feed())
        return raised.exception.reason

    def test_reason_codes_of_malformed_bytes(self) -> None:
        engine_data = {
            "long line": b"x" * (MAX_LINE_BYTES + 1),
            "oversized": b"NEED 1 %b 65537\r\n" % self.RPC_ID,
            "bad length": b"NEED 1 %b 2\r\nabcd" % self.RPC_ID,
            "bad number": b"NEED 1 %b x\r\n" % self.RPC_ID,
            "bad notice number": b"NOTE x\r\n",
            "bad word": b"DONE 1 %b odd 1\r\n" % self.RPC_ID,
            "bad age": b"HELLO new x\r\n",
            "bad line": b"ODD 1\r\n",
        }
        database_data = {
            "bad line": b"one\r\n",
            "bad word": self.RPC_ID + b" ODD\r\n",
            "bad number": self.RPC_ID + b" ROWS x\r\n",
            "bad length": self.RPC_ID + b" ROWS 2\r\nabcd",
        }
        gateway_data = {
            "no array": gateway.pack({"a": 1}),
            "short": gateway.pack([0, 1]),
            "unknown kind": gateway.pack([7, 1, "m", []]),
            "no number": gateway.pack([0, "x", "m", []]),
            "no method": gateway.pack([0, 1, 2, []]),
            "no parameters": gateway.pack([0, 1, "m", 3]),
            "no bytes of this format": b"\xc1",
        }
        found: dict[str, Any] = {}
        for name, data in engine_data.items():
            found[f"engine, {name}"] = self.reason(lambda data=data: engine.NoticeDecoder().feed(data))  # type: ignore[misc]
        for name, data in database_data.items():
            found[f"database, {name}"] = self.reason(lambda data=data: database.ReplyDecoder().feed(data))  # type: ignore[misc]
        for name, data in gateway_data.items():
            messages = gateway.MessageDecoder().feed(data)
            rows = [[getattr(message, field) for field in type(message).__slots__] for message in messages]
            found[f"gateway, {name}"] = rows
        assert_golden_json(self, "reason_codes.json", found)

    def test_request_errors_name_the_field(self) -> None:
        fields = {"id": "00000000000000ab", "at": "1796287000000.25", "from": "4", "wait": "1", "kb": "1.5"}
        optional = {"tenant": "t", "key": "k", "once": "o", "cost": "3.5", "retry": "1", "mark": "m7"}
        found: dict[str, Any] = {}
        for name in fields | optional:
            for value in (None, "", "x", "-1", 5, "nan", "x" * 300):
                params = [fields | optional | {name: value}, b"body"]
                found[f"{name} {value!r}"] = self.field_at_fault(params)
        for params in ([], [fields], [fields, "text"], ["x", b"body"], [fields, b"body", 1]):
            found[repr(params)] = self.field_at_fault(params)
        assert_golden_json(self, "gateway_fields_at_fault.json", found)

    def field_at_fault(self, params: list[Any]) -> str | None:
        try:
            gateway.decode_fields(params, "mark")
        except gateway.InvalidFieldError as err:
            return str(err)
        return None

    def test_rejection_and_load_headers(self) -> None:
        found: dict[str, Any] = {
            f"{retry_after_ms} {is_final}": gateway.rejection_headers({"x": "1"}, retry_after_ms, is_final)
            for retry_after_ms in (0.0, 1.0, 1500.25)
            for is_final in (False, True)
        }
        found["load"] = gateway.load_headers(0.625)
        assert_golden_json(self, "gateway_headers.json", found)


class RandomSimulation:
    """A simulation of one instance with random events, some of which respond to messages of the adapter."""

    def __init__(self, seed: int, settings: dict[str, Any]) -> None:
        self.rng = random.Random(seed)
        self.adapter = Adapter()
        self.replies: list[Any] = []
        self.running: list[str] = []
        self.calling: list[str] = []
        self.read_rpcs: list[str] = []
        self.send_batch(0.0, 0, [["Configure", 3, 7, settings]])

    def send_batch(self, now_ms: float, number: int, events: list[Any]) -> None:
        """Sends a batch as JSON and processes the replies."""
        for message in [["Batch", now_ms, number], *events, ["End"]]:
            self.adapter.handle_message(json.loads(json.dumps(message)))
        replies = json.loads(json.dumps(self.adapter.close_batch()))
        self.replies += replies
        self.running += [reply[2] for reply in replies if reply[0] == "Execute"]
        self.calling += [reply[2] for reply in replies if reply[0] == "GoCall"]

    def pop_random(self, rpcs: list[str]) -> str:
        return rpcs.pop(self.rng.randrange(len(rpcs)))

    def rpc_event(self, rpc_id: str) -> list[Any]:
        key = f"k{self.rng.randrange(6)}" if self.rng.random() < 0.4 else None
        original = self.rng.choice(self.read_rpcs) if self.read_rpcs and self.rng.random() < 0.1 else None
        remaining = self.rng.choice([None, 5.0, 400.0, 3000.0])
        caller, bits = self.rng.randrange(3), self.rng.randrange(8)
        self.read_rpcs.append(rpc_id)
        return ["Ingress", 3, rpc_id, key, remaining, 1.0, 20.0, caller, 0, 5.0, 0, 0.5, original, bits]

    def random_events(self, number: int) -> list[Any]:
        events = [self.rpc_event(f"{number}.{index}") for index in range(self.rng.randrange(3))]
        if self.running and self.rng.random() < 0.8:
            events.append(self.end_event("Result", self.pop_random(self.running)))
        if self.running and self.rng.random() < 0.3:
            events.append(["WantsCall", 3, self.rng.choice(self.running)])
        if self.calling and self.rng.random() < 0.8:
            events.append(self.end_event("CallDone", self.pop_random(self.calling)))
        if self.read_rpcs and self.rng.random() < 0.05:
            events.append(["Hangup", 3, self.rng.choice(self.read_rpcs[-5:])])
        if self.rng.random() < 0.3:
            events.append(["Elapsed", 3, "w1", {"core_use": self.rng.random(), "on_cores": 3, "links": 9}])
        if number == 380:
            events.append(["Quiesce", 3, 900.0])
        return events

    def end_event(self, event: str, rpc_id: str) -> list[Any]:
        outcome = "served" if self.rng.random() < 0.8 else self.rng.choice(OUTCOMES)
        return [event, 3, rpc_id, outcome, self.rng.expovariate(1 / 30.0)]

    def run(self) -> list[Any]:
        """Runs 399 batches and returns all replies."""
        now_ms = 0.0
        for number in range(1, 400):
            now_ms += self.rng.expovariate(1 / 40.0)
            self.send_batch(now_ms, number, self.random_events(number))
        return self.replies


class SimulatorEventsTest(unittest.TestCase):
    """Covers every event of the simulator and every message to it by random simulations with fixed seeds."""

    def test_random_simulations(self) -> None:
        found: dict[str, Any] = {}
        names: set[str] = set()
        for seed in range(4):
            for effect in CHOICES["effect"]:
                settings = replace_at(SETTINGS, ("classes", 0, "effect"), effect)
                settings["extra"] = EXTRA | {"cold": seed % 2 == 1, "halt": CHOICES["halt"][seed % 3]}
                replies = RandomSimulation(seed, settings).run()
                counts: dict[str, int] = {}
                for name, *_ in replies:
                    counts[name] = counts.get(name, 0) + 1
                names |= set(counts)
                digest = hashlib.sha256(json.dumps(replies).encode()).hexdigest()
                found[f"{effect} {seed}"] = [dict(sorted(counts.items())), replies[:600:29], digest]
        found["names"] = sorted(names)
        assert_golden_json(self, "simulator_plays.json", found)
