"""Tests load advertisement, tenant weights and idle timeouts of connections."""

import unittest

from landingshift.admission.interface import LoadAdvertisement, Tenant
from tests.helpers import AdmissionBench


class Advertisements(unittest.TestCase):
    def test_advertises_no_load_when_idle_and_full_load_while_draining(self) -> None:
        for advertisement, idle_load, draining_load in [
            (LoadAdvertisement.LEVEL, 0.0, 1.0),
            (LoadAdvertisement.WEIGHT, 1.0, 0.0),
            (LoadAdvertisement.CREDIT, None, 0.0),
        ]:
            with self.subTest(load_advertisement=advertisement):
                bench = AdmissionBench(load_advertisement=advertisement)
                bench.run_check()
                if idle_load is not None:
                    self.assertEqual(bench.actions_named("advertise_load")[-1][1], idle_load)
                else:
                    self.assertGreater(bench.actions_named("advertise_load")[-1][1], 1.0)
                bench.controller.start_draining(2000.0)
                bench.run_check()
                self.assertEqual(bench.actions_named("advertise_load")[-1][1], draining_load)


class TenantWeights(unittest.TestCase):
    def test_tenant_beyond_its_quota_gets_a_lower_weight(self) -> None:
        within_quota, over_quota = Tenant(40.0), Tenant(40.0)
        bench = AdmissionBench(tenants=[within_quota, over_quota])
        for i in range(100):
            bench.set_time(i * 40.0)
            bench.read(tenant=over_quota)
            if i % 5 == 0:
                bench.read(tenant=within_quota)
        bench.run_check()
        self.assertEqual(bench.controller.tenants.weights[within_quota], 1.0)
        self.assertLess(bench.controller.tenants.weights[over_quota], 0.8)


class ConnectionTimeouts(unittest.TestCase):
    def test_closes_idle_connections_only_if_there_are_many_and_callers_rarely_return(self) -> None:
        for caller_count, open_connections, closes in [
            (4, 200.0, False),
            (500, 200.0, True),
            (500, 3.0, False),
        ]:
            with self.subTest(caller_count=caller_count, open_connections=open_connections):
                bench = AdmissionBench()
                for i in range(100):
                    bench.read(caller_id=i % caller_count)
                    bench.run_check(100.0, 0.2, 0, open_connections)
                self.assertEqual(bool(bench.actions_named("close_idle_connections")), closes)


if __name__ == "__main__":
    unittest.main()
