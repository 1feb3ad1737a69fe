"""The service-level report, and the alerts of a relay."""

from cornelspan_balancer.service_levels import ServiceLevels
from cornelspan_common.service_levels import Minute, ServiceCounts
from cornelspan_control.burn import FAST, Series, add_minute
from cornelspan_control.configuration import Configuration, Snapshot
from cornelspan_control.profiles import Objective, Profile, Service
from cornelspan_control.reports import build_report
from cornelspan_control.summaries import (
    SealedAgent,
    ServiceSummary,
    Summary,
)

NOW = 29_000_000
DATACENTRE = "chuo-hall"
ORDERS = Profile(name="orders", objective=Objective(good_share=0.99))
SNAPSHOT = Snapshot(
    revision=1,
    profiles=(ORDERS,),
    services=(
        Service(name="order-hub", address="127.0.0.1:1", profile="orders"),
        Service(name="receipt-render", address="127.0.0.1:2", profile="orders"),
    ),
)


def burning_summary():
    series = Series()
    for minute in range(NOW - 59, NOW + 1):
        series = add_minute(series, minute, 80, 20)
    agents = (
        SealedAgent("order-hub-1", 1, "order-hub", NOW),
        SealedAgent("order-hub-2", 1, "order-hub", NOW - 30),
    )
    services = {"order-hub": ServiceSummary(series)}
    return Summary("chuo-hall", NOW, services, agents)


def test_report_says_what_burns_and_what_is_missing():
    summaries = [
        burning_summary(),
        Summary("kita-hall", NOW - 45),
        Summary("atsubetsu-hall"),
    ]
    report = build_report(summaries, SNAPSHOT, now=NOW)
    assert ("order-hub", FAST.name) in report.alerts
    assert report.missing == (
        "agent order-hub-2 (order-hub): silent for 30 min",
        "data centre kita-hall: 45 min old",
        "data centre atsubetsu-hall: can't be read",
        "service receipt-render: never counted",
    )


def test_relay_raises_and_clears_an_alert_without_the_store():
    # Orders fail for some minutes while the store is down. The relay gets the counts
    # from the agents and raises the alert itself. After good minutes the short window
    # clears it, although the rate over the hour is still high.
    configuration = Configuration()
    configuration.apply(SNAPSHOT)
    levels = ServiceLevels(configuration)
    bad = tuple(Minute(NOW - age, 50, 50) for age in range(5))
    levels.take(ServiceCounts("order-hub-1", 1, "order-hub", NOW, bad, b""), DATACENTRE)
    raised = levels.check(NOW)
    assert next(change.alert for change in raised if change.firing) == FAST.name
    assert levels.check(NOW) == []
    good = tuple(Minute(NOW + age, 100, 0) for age in range(1, 7))
    levels.take(
        ServiceCounts("order-hub-1", 1, "order-hub", NOW + 6, good, b""), DATACENTRE
    )
    ended = levels.check(NOW + 6)
    assert [c.alert for c in ended if not c.firing] == [FAST.name]
    assert {each.labels["window"] for each in levels.rates()} >= {"5 min", "1 h"}
