"""How the adapter decodes the platform's records, whatever they contain."""

import msgspec
import pytest
from hypothesis import given, strategies as st
from result import Err, Ok

from cornelspan_passthrough.endpoint import Incarnation
from cornelspan_passthrough.http_messages import HTTPRequest
from cornelspan_passthrough.members import Member, Members
from cornelspan_passthrough.running_agent import InvalidCall, LeaveCall
from cornelspan_shirakaba.calls import HEARTBEAT_PATH, LEAVE_PATH, decode_call
from cornelspan_shirakaba.packets import CODEC
from cornelspan_shirakaba.records import (
    decode_changes,
    decode_configuration,
    decode_leave,
    decode_member,
    decode_page,
    decode_report,
    encode_member,
)
from cornelspan_standins.platform_store import configuration_spec

ORDERS = Member("10.1.0.11", "agent", "chuo-hall", "orders")
REPORT = {
    "service": "orders",
    "address": "10.1.0.11:8165",
    "zone": "chuo-hall",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmup-remaining-ms": 0,
    "sequence": 4,
    "born": 1_780_000_000_000,
}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
# Values of every type and size in place of one field of a valid record.
arbitrary_values = json_values | st.sampled_from(
    [-1, 0, 1 << 70, 1.5, True, "", "x" * 300]
)


def member_object(name="10.1.0.11", **spec):
    full = {"role": "agent", "datacentre": "hall", "service": "orders"} | spec
    return {"meta": {"name": name, "revision": 3}, "spec": full}


def page(*items, has_more=False):
    body = {"items": list(items), "current-rev": 7, "has-more": has_more}
    return decode_page(msgspec.json.encode(body))


def test_a_report_names_its_life():
    found = decode_report("i-1", msgspec.json.encode(REPORT)).unwrap()
    assert found.incarnation == Incarnation("i-1", 1_780_000_000_000)
    without = {name: value for name, value in REPORT.items() if name != "born"}
    found = decode_report("i-1", msgspec.json.encode(without)).unwrap()
    assert found.incarnation == Incarnation("i-1")


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "starting"),
        ("state", None),
        ("capacity", 0),
        ("capacity", 1 << 70),
        ("capacity", True),
        ("sequence", "4"),
        ("sequence", -1),
        ("warmup-remaining-ms", -5),
        ("warmup-remaining-ms", 1 << 40),
        ("service", ""),
        ("service", None),
        ("born", None),
        ("born", "1780000000000"),
        ("born", 1.5),
        ("born", True),
        ("address", 7),
    ],
)
def test_a_report_with_an_odd_field_is_refused_with_a_reason(field, value):
    """A report with an invalid field leaves the state of the endpoint unchanged.

    Another writer sent it. Accepted as ready, or with a value that no endpoint has, it
    would change where flows are placed.
    """
    body = msgspec.json.encode(REPORT | {field: value})
    call = decode_call(HTTPRequest("POST", f"{HEARTBEAT_PATH}i-1", body))
    assert isinstance(call, InvalidCall)
    assert call.reason


@pytest.mark.parametrize("field", sorted(REPORT.keys() - {"born"}))
def test_a_report_without_a_field_is_refused(field):
    body = {name: value for name, value in REPORT.items() if name != field}
    assert isinstance(decode_report("i-1", msgspec.json.encode(body)), Err)


def test_a_word_to_go_names_its_life():
    assert decode_call(HTTPRequest("POST", f"{LEAVE_PATH}i-1", b"")) == LeaveCall(
        Incarnation("i-1")
    )
    assert decode_call(HTTPRequest("POST", f"{LEAVE_PATH}i-1", b"{}")) == LeaveCall(
        Incarnation("i-1")
    )
    body = msgspec.json.encode({"born": 7})
    assert decode_call(HTTPRequest("POST", f"{LEAVE_PATH}i-1", body)) == LeaveCall(
        Incarnation("i-1", 7)
    )
    assert isinstance(
        decode_call(HTTPRequest("POST", f"{LEAVE_PATH}i-1", b"[")), InvalidCall
    )


@given(st.sampled_from(sorted(REPORT)), arbitrary_values)
def test_no_field_of_a_report_raises(field, value):
    try:
        body = msgspec.json.encode(REPORT | {field: value})
    except (OverflowError, UnicodeEncodeError):
        return
    found = decode_report("i-1", body)
    if isinstance(found, Ok):
        report = found.ok_value
        assert 1 <= report.capacity < 1 << 31
        assert 0 <= report.cold_milliseconds < 1 << 31


@given(st.binary(max_size=200) | json_values.map(repr).map(str.encode))
def test_no_bytes_raise(data):
    for decode in (decode_page, decode_changes):
        assert isinstance(decode(data), Ok | Err)
    assert isinstance(decode_report("i-1", data), Ok | Err)
    assert isinstance(decode_leave("i-1", data), Ok | Err)
    for read in (CODEC.read_client, CODEC.read_endpoint):
        head = read(data)
        assert head is None or head.length == len(data) - 31


@given(json_values)
def test_no_object_raises_or_hides_a_good_one(odd):
    """Members and configuration are decoded beside an entry of any other form.

    Another writer left it, and the store returns it with each list and each watch.
    """
    good = member_object()
    try:
        body = {"items": [odd, good, odd], "current-rev": 7}
        found = decode_page(msgspec.json.encode(body)).unwrap()
        event = {"object": good}
        changes = {"events": [odd, event, {"object": odd}], "current-rev": 7}
        changed = decode_changes(msgspec.json.encode(changes)).unwrap()
    except (OverflowError, UnicodeEncodeError):
        return
    assert [decode_member(each) for each in found.objects].count(Ok(ORDERS_IN_HALL)) > 0
    assert decode_member(changed.events[-1].object) == Ok(ORDERS_IN_HALL)


ORDERS_IN_HALL = Member("10.1.0.11", "agent", "hall", "orders")


@given(st.sampled_from(["role", "datacentre", "service"]), arbitrary_values)
def test_no_field_of_a_member_raises(field, value):
    try:
        body = {"items": [member_object(**{field: value})], "current-rev": 7}
        found = decode_page(msgspec.json.encode(body)).unwrap()
    except (OverflowError, UnicodeEncodeError):
        return
    for each in found.objects:
        member = decode_member(each)
        if isinstance(member, Ok):
            assert member.ok_value.role in ("agent", "balancer")


@pytest.mark.parametrize(
    "name", ["", "10.1.0", "vm-1", "10.1.0.11:80", "::1", "0.0.0.0", "10.1.0.256"]
)
def test_a_member_whose_name_is_no_address_is_left_out(name):
    for each in page(member_object(name)).unwrap().objects:
        assert isinstance(decode_member(each), Err)


def test_an_agent_without_a_service_is_left_out():
    (found,) = page(member_object(service="")).unwrap().objects
    assert isinstance(decode_member(found), Err)


def test_what_is_no_object_is_told_with_a_reason():
    found = page({"meta": 7}, member_object(), "x").unwrap()
    assert len(found.objects) == 1
    assert len(found.unreadable) == 2
    assert all(each.reason for each in found.unreadable)


def test_the_next_page_begins_after_the_last_name_that_can_be_read():
    assert (
        page(member_object("10.1.0.7"), {"meta": {}}, has_more=True).unwrap().last
        == "10.1.0.7"
    )
    assert isinstance(page({"meta": {}}, has_more=True), Err)


@pytest.mark.parametrize(
    "odd",
    [
        {"hostname": "shop"},
        {"path-prefix": "/70000/"},
        {"path-prefix": "/x/"},
        {"priority": -1},
        {"timeout-ms": -1},
        {"target-latency-ms": "200"},
        {"traffic-split": [{"service": "a", "weight": -1}]},
    ],
)
def test_a_route_that_cannot_be_read_leaves_the_others_in_force(odd):
    spec = configuration_spec(4)
    spec["routes"].append(spec["routes"][0] | {"name": "odd"} | odd)
    configuration, unreadable = decode_configuration(spec).unwrap()
    assert [route.name for route in configuration.routes] == ["r-1"]
    assert [each.name for each in unreadable] == ["route 1"]


@given(json_values)
def test_no_configuration_raises(spec):
    assert isinstance(decode_configuration(spec), Ok | Err)
    full = configuration_spec(4)
    full["routes"].append(spec)
    configuration, _ = decode_configuration(full).unwrap()
    assert configuration.routes[0].name == "r-1"


def test_what_is_written_of_a_member_can_be_read():
    body = {"meta": {"name": ORDERS.address}, "spec": encode_member(ORDERS)}
    (found,) = page(body).unwrap().objects
    assert decode_member(found) == Ok(ORDERS)


def test_a_member_whose_entry_was_overwritten_stays_known():
    """Flows of a live endpoint do not count as dead.

    Another writer overwrites the agent's entry. The agent is still queried for flows,
    as an unregistered member, and registers again.
    """
    members = Members()
    members.replace([ORDERS], 3)
    members.mark_unreadable(ORDERS.address)
    assert members.agents() == [ORDERS]
    assert ORDERS.address not in members.registered
    members.replace([], 4, [ORDERS.address])
    assert members.agents() == [ORDERS]
    members.put(ORDERS, 5)
    assert members.announced == {}
