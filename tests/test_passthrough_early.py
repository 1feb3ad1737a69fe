"""A daemon serves packets and accepts connections while it is still importing."""

import asyncio
import socket
import sys
import threading

import pytest

from cornelspan_passthrough.datagrams import datagram_socket
from cornelspan_passthrough.http import serve_listener
from cornelspan_passthrough.http_messages import HTTPResponse
from cornelspan_passthrough.listeners import listening_socket
from cornelspan_passthrough.startup import import_while_serving

WAIT = """
import builtins
builtins.import_may_finish.wait()
value = 7
"""


@pytest.fixture
def slow_module(tmp_path, monkeypatch):
    """Return the name of a module whose import blocks, and its unblocking event."""
    import_may_finish = threading.Event()
    monkeypatch.setattr("builtins.import_may_finish", import_may_finish, raising=False)
    monkeypatch.syspath_prepend(tmp_path)
    (tmp_path / "slow_part.py").write_text(WAIT)
    yield "slow_part", import_may_finish
    sys.modules.pop("slow_part", None)


def send(address, data):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(data, address)


def serve_packets(slow_module, address, packets, received=lambda data: None):
    """Send packets to a daemon that is starting; return those it got, and the module.

    The import of the module finishes once all packets have been received.
    """
    name, import_may_finish = slow_module
    seen = []
    with datagram_socket(address) as opened:

        def take(data, sender):
            seen.append(data)
            if len(seen) == len(packets):
                import_may_finish.set()
            received(data)

        opened.on_datagram = take
        for packet in packets:
            send(address, packet)
        module = import_while_serving(name, [opened], lambda now: None)
    return seen, module


def test_packets_are_served_while_a_module_is_imported(slow_module, base_port):
    """A client's packet is answered while its agent is still starting.

    The import blocks until the packet has been received. If packets were served only
    after the import, the test would hang.
    """
    address = ("127.0.0.1", base_port)
    seen, module = serve_packets(slow_module, address, [b"packet"])
    assert seen == [b"packet"]
    assert module.value == 7


def test_a_packet_that_raises_stops_neither_serving_nor_the_import(
    slow_module, base_port
):
    def fail(data):
        raise ValueError("odd")

    address = ("127.0.0.1", base_port)
    seen, module = serve_packets(slow_module, address, [b"one", b"two"], fail)
    assert seen == [b"one", b"two"]
    assert module.value == 7


def test_time_passes_while_a_module_is_imported(slow_module):
    name, import_may_finish = slow_module
    ticks = []

    def tick(now):
        ticks.append(now)
        if len(ticks) == 3:
            import_may_finish.set()

    import_while_serving(name, [], tick)
    assert ticks == sorted(ticks)


def test_an_import_that_fails_ends_the_start():
    with pytest.raises(ModuleNotFoundError):
        import_while_serving("cornelspan_no_such_part", [], lambda now: None)


async def test_a_call_from_before_the_server_is_answered_by_it(base_port):
    """An endpoint's first report is acknowledged although it arrives too early.

    The endpoint connects while its agent is still importing the HTTP server. If the
    connection were refused, the endpoint would retry later, and its slots would be
    unknown until then.
    """
    address = ("127.0.0.1", base_port)
    with listening_socket(address) as listener:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /report HTTP/1.1\r\nHost: agent\r\n\r\n")
        await writer.drain()
        with serve_listener(
            listener, lambda call: HTTPResponse(200, call.path.encode())
        ):
            async with asyncio.timeout(20):
                answer = await reader.readuntil(b"/report")
        writer.close()
    assert answer.startswith(b"HTTP/1.1 200")
