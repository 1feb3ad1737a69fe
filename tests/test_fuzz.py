"""Fuzzing of external input: settings, frames and answers of the store.

A run has SETTINGS_CASES cases for each of three properties of settings, FRAME_CASES for
each of two properties of frames, STREAM_CASES streams with invalid bytes to a running
server, and ANSWER_CASES answers of the store for each of its calls.
"""

import asyncio
import json

import msgspec
import tornado.web
from hypothesis import HealthCheck, given, settings, strategies as st
from result import Err, Ok
from tornado.httpserver import HTTPServer

from cornelspan_common.control import Heartbeat
from cornelspan_common.packets import Hello
from cornelspan_common.settings import (
    Address,
    AgentSettings,
    BalancerSettings,
    StoreSettings,
    StreamSettings,
    decode_settings,
)
from cornelspan_common.streams import batches, decode_batch, open_peer, serve_peers
from cornelspan_control.configuration_reader import read_snapshot
from cornelspan_control.profiles import Profile
from cornelspan_control.store import StoreClient
from cornelspan_control.summaries import read_summaries, read_summary
from local import BASE_PORT
from test_settings import GOOD

SETTINGS_CASES = 300
FRAME_CASES = 500
STREAM_CASES = 200
ANSWER_CASES = 150
STREAMS_AT = Address(host="127.0.0.1", port=BASE_PORT + 302)
STORE_AT = Address(host="127.0.0.1", port=BASE_PORT + 303)

scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
many = settings(max_examples=SETTINGS_CASES, deadline=None)


@many
@given(st.binary(max_size=200))
def test_any_bytes_as_settings_are_an_error_value(text):
    assert isinstance(decode_settings(text, BalancerSettings), Err)


@many
@given(st.sampled_from(sorted(GOOD)), values)
def test_any_value_in_a_field_is_taken_or_named(field, value):
    text = json.dumps(GOOD | {field: value}).encode()
    decoded = decode_settings(text, BalancerSettings)
    if isinstance(decoded, Err):
        assert decoded.err_value.path.startswith("$")


@many
@given(st.dictionaries(st.sampled_from(AgentSettings.__struct_fields__), values))
def test_any_object_as_agent_settings_or_profile(document):
    text = json.dumps(document).encode()
    for kind in (AgentSettings, Profile):
        assert isinstance(decode_settings(text, kind), Ok | Err)


frames = settings(max_examples=FRAME_CASES, deadline=None)


@frames
@given(st.binary(max_size=300))
def test_any_bytes_as_a_frame(frame):
    assert isinstance(decode_batch(frame), Ok | Err)


@frames
@given(st.lists(values, max_size=4), st.integers(0, 4))
def test_foreign_messages_cost_only_themselves(foreign, place):
    # Arbitrary msgpack values in a frame don't affect its valid message.
    beat = Heartbeat("balancer-1", 1, 7)
    parts = [msgspec.msgpack.encode(each) for each in foreign if _packable(each)]
    parts[place:place] = [msgspec.msgpack.encode(beat)]
    frame = msgspec.msgpack.encode([msgspec.Raw(part) for part in parts])
    messages, refused = decode_batch(frame).unwrap()
    assert beat in messages
    assert len(messages) + refused == len(parts)


def _packable(value):
    try:
        msgspec.msgpack.encode(value)
    except (OverflowError, UnicodeEncodeError):
        return False
    return True


def hello(name):
    return Hello(1, "balancer", name, "chuo-hall", 1)


async def test_garbage_streams_leave_a_good_one_alone():
    # Many streams send random bytes, some of them after a valid hello. A valid peer
    # sends heartbeats meanwhile. Each of these must arrive, and when the invalid
    # streams have ended, no peer and no task of them may be left.
    got = []

    async def collect(peer):
        async for batch in batches(peer):
            got.extend(each.revision for each in batch if type(each) is Heartbeat)

    limits = StreamSettings()
    greeting = msgspec.msgpack.encode([hello("invalid")])
    greeting = len(greeting).to_bytes(4, "big") + greeting
    loop = asyncio.get_running_loop()
    async with serve_peers(STREAMS_AT, hello("server"), limits, collect) as server:
        async with open_peer(STREAMS_AT, hello("good"), limits) as opened:
            peer = opened.unwrap()
            await asyncio.sleep(0.05)
            before = len(asyncio.all_tasks(loop))
            for number, garbage in enumerate(_garbage(STREAM_CASES)):
                peer.send(Heartbeat("good", 1, number))
                _, writer = await asyncio.open_connection("127.0.0.1", STREAMS_AT.port)
                writer.write(greeting * (number % 2) + garbage)
                writer.close()
            await asyncio.sleep(0.5)
            assert got == list(range(STREAM_CASES))
            assert [each.name for each in server.peers] == ["good"]
            assert len(asyncio.all_tasks(loop)) <= before


def _garbage(cases):
    """Draw random byte strings, one for each stream, outside of a property."""
    found = []

    @settings(max_examples=cases, deadline=None, database=None, derandomize=True)
    @given(st.binary(max_size=400))
    def draw(data):
        found.append(data)

    draw()
    return (found * (cases // len(found) + 1))[:cases]


class AnyAnswer(tornado.web.RequestHandler):
    """Answers every request with a given status, body and Etag."""

    def initialize(self, answer):
        self.answer = answer

    def prepare(self):
        status, body, etag = self.answer
        self.set_status(status)
        self.set_header("Etag", etag)
        if status not in (204, 304) and status >= 200:
            self.write(body)
        self.finish()


answers = st.tuples(
    st.sampled_from([200, 200, 200, 204, 404, 409, 412, 413, 429, 500, 503]),
    st.binary(max_size=60)
    | values.map(lambda value: json.dumps(value).encode())
    | st.just(b'{"version": "x"}')
    | st.just(b'{"version": 3, "objects": [["a", 1]]}'),
    st.sampled_from(['"7"', "7", "x", '""', '"99999999999999999999"']),
)


@settings(
    max_examples=ANSWER_CASES,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(answers, min_size=1, max_size=1))
def test_any_answer_of_the_store_is_a_result(answer):
    asyncio.run(_ask_all(answer[0]))


async def _ask_all(answer):
    application = tornado.web.Application(
        [(".*", AnyAnswer, {"answer": answer})], log_function=lambda handler: None
    )
    server = HTTPServer(application)
    server.listen(STORE_AT.port, STORE_AT.host)
    client = StoreClient(StoreSettings(address=STORE_AT, calls_per_second=1000))
    try:
        calls = (
            client.get("a"),
            client.list_objects("a/"),
            client.watch("a/", after=0, seconds=0.1),
            client.put("a", b"x", expected=1),
            client.delete("a"),
            read_snapshot(client),
            read_summary(client, "chuo-hall"),
            read_summaries(client),
        )
        for call in calls:
            assert isinstance(await call, Ok | Err)
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()
