"""What callers hear, tenants beyond their quota, idle connections."""

import unittest

from landingshift.admission.interface import LoadAdvertisement, Tenant
from tests.helpers import AdmissionBench


class Advertisements(unittest.TestCase):
    def test_advertises_idle_load_and_sends_callers_away_while_draining(self) -> None:
        for advertisement, calm, leaving in [
            (LoadAdvertisement.LEVEL, 0.0, 1.0),
            (LoadAdvertisement.WEIGHT, 1.0, 0.0),
            (LoadAdvertisement.CREDIT, None, 0.0),
        ]:
            with self.subTest(load_advertisement=advertisement):
                bench = AdmissionBench(load_advertisement=advertisement)
                bench.run_check()
                if calm is not None:
                    self.assertEqual(bench.actions_named("advertise_load")[-1][1], calm)
                else:
                    self.assertGreater(bench.actions_named("advertise_load")[-1][1], 1.0)
                bench.controller.start_draining(2000.0)
                bench.run_check()
                self.assertEqual(bench.actions_named("advertise_load")[-1][1], leaving)


class TenantWeights(unittest.TestCase):
    def test_tenant_beyond_its_quota_counts_less(self) -> None:
        calm, loud = Tenant(40.0), Tenant(40.0)
        bench = AdmissionBench(tenants=[calm, loud])
        for i in range(100):
            bench.set_time(i * 40.0)
            bench.read(tenant=loud)
            if i % 5 == 0:
                bench.read(tenant=calm)
        bench.run_check()
        self.assertEqual(bench.controller.tenants.weights[calm], 1.0)
        self.assertLess(bench.controller.tenants.weights[loud], 0.8)


class ConnectionTimeouts(unittest.TestCase):
    def test_closes_idle_connections_sooner_only_where_callers_seldom_return(self) -> None:
        for callers, links, closed in [(4, 200.0, False), (500, 200.0, True), (500, 3.0, False)]:
            with self.subTest(caller_count=callers, links=links):
                bench = AdmissionBench()
                for i in range(100):
                    bench.read(caller_id=i % callers)
                    bench.run_check(100.0, 0.2, 0, links)
                self.assertEqual(bool(bench.actions_named("close_idle_connections")), closed)


if __name__ == "__main__":
    unittest.main()
