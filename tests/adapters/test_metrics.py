from prometheus_client.parser import text_string_to_metric_families

from agaterelay.adapters.metrics import MAX_REASONS, Metrics, Readings


def samples(metrics):
    body, _ = metrics.render()
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(body.decode())
        for sample in family.samples
    }


def test_a_scrape_shows_readings_and_counts_with_units_in_their_names():
    readings = Readings(
        active_revision=7, platform_up=True, members={"alive": 5}, calls_queued=2
    )
    metrics = Metrics(lambda: readings)
    metrics.count_call("cue-fire", "answered", 0.004)
    metrics.count_call("cue-fire", "not-run", 0.001)
    metrics.count_refusal("the upstream refused: full")
    metrics.count_refusal("the upstream refused: draining")
    metrics.count_peer_message("Exchange", 80, 120)
    found = samples(metrics)
    assert found["agaterelay_active_revision",] == 7
    assert found["agaterelay_platform_up",] == 1
    assert found["agaterelay_members", "alive"] == 5
    assert found["agaterelay_calls_queued",] == 2
    assert found["agaterelay_calls_total", "answered", "cue-fire"] == 1
    assert found["agaterelay_call_refusals_total", "the upstream refused"] == 2
    assert found["agaterelay_call_duration_seconds_count",] == 2
    assert found["agaterelay_peer_message_bytes_total", "Exchange", "received"] == 120
    assert found["process_resident_memory_bytes",] > 0
    assert found["process_cpu_seconds_total",] > 0


def test_reasons_are_bounded():
    metrics = Metrics(Readings)
    for number in range(5 * MAX_REASONS):
        metrics.count_refusal(f"reason {number}")
    found = [name for name in samples(metrics) if "refusals_total" in name[0]]
    assert len(found) == MAX_REASONS + 1
