from hypothesis import HealthCheck, settings

# The same verdict each time, on a busy machine too.
settings.register_profile(
    "ours", deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("ours")
