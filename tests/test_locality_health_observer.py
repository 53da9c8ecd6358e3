"""What one member observes of engines and zones, and which engines it checks."""

from decklb.interface import Outcome
from decklb.locality.health_observer import EngineCapacity, ZoneHealthObserver
from decklb.locality.settings import LocalitySettings

SETTINGS = LocalitySettings()


def make_observer(zones=("a", "b"), engines_per_zone=2):
    observer = ZoneHealthObserver(SETTINGS, "m0")
    observer.update_engines({f"{z}{i}": EngineCapacity(z, 4.0) for z in zones for i in range(engines_per_zone)})
    return observer


def test_engines_are_unreachable_after_consecutive_failures_and_reachable_after_one_answer():
    observer = make_observer()
    assert observer.observation("a", 0.0) is None
    assert not observer.health_check_ended(1.0, "a0", False, 250.0)
    observer.attempt_ended(2.0, "a1", "q", Outcome.SUCCESS, 1.0)
    assert observer.observation("a", 2.0).reachable_fraction == 1.0
    assert observer.health_check_ended(3.0, "a0", False, 250.0)
    assert (observer.observation("a", 3.0).reachable_fraction, observer.unreachable_engines()) == (0.5, ["a0"])
    observer.health_check_ended(4.0, "a0", True, 1.0)
    assert (observer.observation("a", 4.0).reachable_fraction, observer.unreachable_engines()) == (1.0, [])


def test_a_timed_out_request_is_no_failure_of_an_engine_that_answered_others_in_that_time():
    observer = make_observer()
    observer.attempt_ended(1000.0, "a0", "q", Outcome.SUCCESS, 5.0)
    for _ in range(3):
        observer.attempt_ended(1500.0, "a0", "q", Outcome.TIMED_OUT, 900.0)
    assert observer.unreachable_engines() == []
    for now in (3000.0, 3500.0):
        observer.attempt_ended(now, "a0", "q", Outcome.TIMED_OUT, 900.0)
    assert observer.unreachable_engines() == ["a0"]


def test_only_engines_without_a_recent_answer_are_checked_and_less_often_in_a_large_fleet():
    observer = make_observer(engines_per_zone=20)
    assert len(observer.take_due_health_checks(0.0, 5)) == 16  # 8 of the 20 engines of each zone
    assert observer.take_due_health_checks(SETTINGS.health_check_interval_ms / 2, 5) == []
    first = observer.zones["a"].checked_engines[0]
    observer.attempt_ended(SETTINGS.health_check_interval_ms, first, "q", Outcome.SUCCESS, 1.0)
    assert first not in observer.take_due_health_checks(SETTINGS.health_check_interval_ms, 5)
    assert observer.take_due_health_checks(3 * SETTINGS.health_check_interval_ms, 64) == []
    assert len(observer.take_due_health_checks(5 * SETTINGS.health_check_interval_ms, 64)) == 16


def test_observations_from_health_checks_only_are_marked_and_requests_show_errors_and_latency():
    observer = make_observer()
    for i in range(100):
        for z in "ab":
            observer.health_check_ended(float(i), f"{z}0", True, 1.0)
    assert observer.observation("a", 100.0).health_checks_only
    for i in range(100):
        observer.attempt_ended(200.0 + i, "a0", "q", Outcome.ERROR, 1.0)
        observer.attempt_ended(200.0 + i, "b0", "q", Outcome.SUCCESS, 10.0)
        observer.health_check_ended(200.0 + i, "a0", True, 200.0)
    failing, healthy = observer.observation("a", 300.0), observer.observation("b", 300.0)
    assert not failing.health_checks_only
    assert not healthy.health_checks_only
    assert failing.error_rate > SETTINGS.out_threshold
    assert failing.latency_ratio > SETTINGS.degraded_latency_ratio
    assert max(healthy.error_rate, healthy.latency_ratio) < 1.5
