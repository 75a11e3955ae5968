"""Tests of usage metering in a running server: billed usage matches the answers that gateways received."""

import contextlib
import tempfile
import time
import unittest
from typing import Any

from landingshift.ledger.entries import UsageRecord
from landingshift.ledger.store import UsageStore
from tests.helpers import GatewayClient, ProgramUnderTest, launch_program

TOML = """
[ledger]
folder = "{folder}/ledger"
instance = "n3"
commit_ms = 5
lock_wait_ms = 2000
"""
RESULT = b"r" * 30


def open_store(world: ProgramUnderTest) -> UsageStore:
    return UsageStore(world.folder.name + "/ledger", "n3", "UTC", "month", 900_000, 100_000)


def billed_uses(world: ProgramUnderTest) -> dict[tuple[bytes, bytes], int]:
    """Returns the billed uses by tenant and method."""
    found: dict[tuple[bytes, bytes], int] = {}
    with open_store(world) as store:
        for period in store.periods():
            for entry in store.tenant_totals(period.name):
                key = entry.tenant, entry.method
                found[key] = found.get(key, 0) + entry.totals.uses
    return found


def disputed_usage(world: ProgramUnderTest) -> list[UsageRecord]:
    with open_store(world) as store:
        return [record for _, record in store.disputed()]


def stop_server(world: ProgramUnderTest) -> None:
    world.process.terminate()
    world.wait_for_log("stopped")
    world.process.wait(5)


def run_rpc(world: ProgramUnderTest, gateway: GatewayClient, method: str = "m", **fields: Any) -> Any:
    """Sends an RPC that the engine answers ok and returns the number of the request."""
    number = gateway.send_rpc(method, **fields)
    world.engine.expect_command("RUN", gateway.last_rpc_id)
    world.engine.send_notice("DONE", world.rpc_count, gateway.last_rpc_id, "good 12.5", body=RESULT)
    return number


def crash_once(case: unittest.TestCase, failpoint: str) -> dict[str, str]:
    """Returns the environment in which the first process that reaches a failpoint is killed there."""
    directory = tempfile.TemporaryDirectory()
    case.addCleanup(directory.cleanup)
    return {"LANDINGSHIFT_CRASH": failpoint, "LANDINGSHIFT_CRASH_ONCE": directory.name + "/crashed"}


class MeteringServiceTest(unittest.TestCase):
    def test_bills_each_ok_answer_once_and_no_other_answers(self) -> None:
        for durability in ("before_answer", "after_answer"):
            with self.subTest(durability=durability):
                world = ProgramUnderTest(self, toml=TOML + f'durable = "{durability}"\n')
                gateway = GatewayClient(world)
                for index in range(3):
                    number = run_rpc(world, gateway, body=b"route %d" % index)
                    self.assertEqual(gateway.read_answer(), (number, RESULT))
                # A retry of an RPC that was answered ok.
                number = run_rpc(world, gateway, body=b"route 1")
                self.assertEqual(gateway.read_answer(), (number, RESULT))
                number = gateway.send_rpc(body=b"fails")
                world.engine.expect_command("RUN", gateway.last_rpc_id)
                world.engine.send_notice("DONE 9", gateway.last_rpc_id, "bad 5", body=b"")
                self.assertEqual(gateway.read_answer(), (number, "Failed"))
                number = gateway.send_rpc("nothing")
                self.assertEqual(gateway.read_answer(), (number, "Busy"))
                stop_server(world)
                self.assertEqual(billed_uses(world), {(b"t", b"m"): 3})
                self.assertEqual(disputed_usage(world), [])

    def test_the_answer_of_a_cancelled_rpc_is_not_billed(self) -> None:
        world = ProgramUnderTest(self, toml=TOML)
        abandoning, other = GatewayClient(world), GatewayClient(world)
        abandoning.send_rpc(body=b"given up")
        world.engine.expect_command("RUN", abandoning.last_rpc_id)
        abandoning.send(b"\x93\x02\xa6giveUp\x91\x01")
        number = run_rpc(world, other, body=b"good")
        self.assertEqual(other.read_answer(), (number, RESULT))
        world.rpc_count += 1
        world.engine.send_notice("DONE", world.rpc_count, f"{1:016x}", "good 1", body=b"x")
        number = run_rpc(world, other, body=b"good too")
        self.assertEqual(other.read_answer(), (number, RESULT))
        stop_server(world)
        self.assertEqual(billed_uses(world), {(b"t", b"m"): 2})

    def test_after_a_kill_unconfirmed_answers_are_disputed(self) -> None:
        for failpoint, min_billed in (("ledger.push:2", 0), ("ledger.answering:2", 0)):
            with self.subTest(failpoint=failpoint):
                world = ProgramUnderTest(self, toml=TOML, env={"LANDINGSHIFT_CRASH": failpoint})
                gateway = GatewayClient(world)
                run_rpc(world, gateway, body=b"one")
                received_count = 0
                try:
                    gateway.read_answer()
                    received_count = 1
                    run_rpc(world, gateway, body=b"two")
                    gateway.read_answer()
                    received_count = 2
                except (EOFError, ConnectionResetError, BrokenPipeError):
                    pass
                world.process.wait(5)
                world.env.pop("LANDINGSHIFT_CRASH")
                world.open_listeners()
                world.start(world.make_config({}, {}))
                stop_server(world)
                billed_count = sum(billed_uses(world).values())
                self.assertLessEqual(billed_count, received_count)
                self.assertLessEqual(received_count, billed_count + len(disputed_usage(world)))
                self.assertGreaterEqual(billed_count, min_billed)

    def test_does_not_start_while_another_server_has_locked_the_store(self) -> None:
        world = ProgramUnderTest(self, toml=TOML.replace("2000", "100"))
        process = launch_program(world.folder.name, world.make_config({}, {}), world.env)
        output = process.communicate(timeout=20)
        self.assertEqual(process.returncode, 2, output)
        self.assertIn("held by another server", output[1])
        self.assertIn("[ledger] folder", output[1])

    def test_a_killed_store_process_is_restarted_without_losing_usage(self) -> None:
        # Killed before a commit, after a commit, and before reporting a commit to the server.
        for failpoint in ("ledger.appended:2", "ledger.committed:4", "ledger.acking:2"):
            with self.subTest(failpoint=failpoint):
                world = ProgramUnderTest(self, toml=TOML, env=crash_once(self, failpoint))
                gateway = GatewayClient(world)
                for index in range(4):
                    number = run_rpc(world, gateway, body=b"route %d" % index)
                    self.assertEqual(gateway.read_answer(), (number, RESULT))
                stop_server(world)
                self.assertIn("ledger_store_exited", [line["event"] for line in world.log_entries])
                self.assertEqual(billed_uses(world), {(b"t", b"m"): 4})
                self.assertEqual(disputed_usage(world), [])

    def test_drain_does_not_wait_for_a_hanging_store(self) -> None:
        # The drain limits how long answers wait for the store, and all RPCs read before it are answered.
        world = ProgramUnderTest(self, toml=TOML, env={"LANDINGSHIFT_SLOW": "ledger.take:3000"})
        gateway = GatewayClient(world)
        number = run_rpc(world, gateway, body=b"slow")
        time.sleep(0.1)
        notified_at_unix_ms = time.time() * 1000.0
        world.process.terminate()
        begun = time.monotonic()
        messages = (gateway.read_message(), gateway.read_message())
        answers = [
            message for message in messages if message[0] == 1
        ]  # the other message asks the gateway to disconnect
        self.assertEqual([(answer[1], answer[3][0]) for answer in answers], [(number, RESULT)])
        self.assertLess(time.monotonic() - begun, 1.4)  # stop_ms is 1500
        line = world.wait_for_log("mode")
        remaining_ms = int(line["text"].removeprefix("draining: ").partition(" ")[0])
        elapsed_ms = line["t"] - notified_at_unix_ms
        self.assertTrue(1498 - elapsed_ms <= remaining_ms <= 1500, (remaining_ms, elapsed_ms))
        self.assertLess(elapsed_ms, 100.0)  # although each commit of the store takes 3 s

    def test_the_size_of_deferred_results_is_limited(self) -> None:
        # With a queue of 64 KiB, at most 256 KiB of results are deferred. Of 90 results of 4000 bytes, those
        # past this limit are answered before the slow commit.
        world = ProgramUnderTest(
            self, toml=TOML + "queue_kb = 64\n", env={"LANDINGSHIFT_SLOW": "ledger.take:1500"}
        )
        gateways = [GatewayClient(world) for _ in range(3)]
        for index in range(90):
            gateways[index % 3].send_rpc(body=b"%d" % index)
        for index in range(90):
            rpc_id = world.engine.next_command()[0][1]
            world.engine.send_notice("DONE", index + 1, rpc_id, "good 1", body=bytes(4000))
        time.sleep(0.5)
        early_count = 0
        for gateway in gateways:
            gateway.sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    gateway.unpacker.feed(gateway.sock.recv(65536))
            early_count += sum(1 for _ in gateway.unpacker)
        self.assertTrue(20 <= early_count <= 45, early_count)

    def test_a_slow_store_delays_no_answer_past_its_deadline(self) -> None:
        world = ProgramUnderTest(self, toml=TOML, env={"LANDINGSHIFT_SLOW": "ledger.take:900"})
        gateway = GatewayClient(world)
        begun = time.monotonic()
        number = run_rpc(world, gateway, body=b"slow", wait="400")
        self.assertEqual(gateway.read_answer(), (number, RESULT))
        self.assertLess(time.monotonic() - begun, 0.4)


if __name__ == "__main__":
    unittest.main()
