"""Mutual TLS: which peers are accepted, error messages, reloading of files."""

import asyncio
import datetime

import pytest
import trustme
from result import Err

from cornelspan_agent.daemon import agent
from cornelspan_balancer.daemon import balancer
from cornelspan_common.control import Heartbeat
from cornelspan_common.packets import Hello
from cornelspan_common.settings import (
    Address,
    AgentSettings,
    BalancerSettings,
    StoreSettings,
    StreamSettings,
    TlsSettings,
)
from cornelspan_common.store_errors import (
    StoreUnavailable,
)
from cornelspan_common.streams import batches, open_peer, serve_peers
from cornelspan_common.tls import open_tls, reload_tls
from cornelspan_control.configuration import Configuration
from cornelspan_control.members import Members
from cornelspan_control.store import (
    StoreClient,
)
from cornelspan_standins.objects import object_store

LIMITS = StreamSettings(connect_seconds=1.0)


@pytest.fixture
def here(base_port):
    return Address(host="127.0.0.1", port=base_port)


@pytest.fixture
def issue(tmp_path):
    """Return a function that writes a key and certificate and returns the settings."""

    def write(authority, name, *, address="127.0.0.1", expired=False):
        moment = datetime.datetime(2020, 1, 1) if expired else None
        leaf = authority.issue_cert(address, not_after=moment)
        folder = tmp_path / name
        folder.mkdir(exist_ok=True)
        leaf.private_key_pem.write_to_path(str(folder / "key.pem"))
        chain = b"".join(blob.bytes() for blob in leaf.cert_chain_pems)
        (folder / "certificate.pem").write_bytes(chain)
        authority.cert_pem.write_to_path(str(folder / "authority.pem"))
        return TlsSettings(
            enabled=True,
            certificate=str(folder / "certificate.pem"),
            key=str(folder / "key.pem"),
            authority=str(folder / "authority.pem"),
        )

    return write


def hello(name):
    return Hello(1, "balancer", name, "chuo-hall", 1)


async def exchange(here, server, client):
    """Send one message over a stream; return what arrived and the client's result."""
    got = []

    async def collect(peer):
        async for batch in batches(peer):
            got.extend(batch)

    async with serve_peers(here, hello("s"), LIMITS, collect, tls=server.server):
        async with open_peer(here, hello("c"), LIMITS, tls=client.client) as opened:
            if opened.is_ok():
                opened.unwrap().send(Heartbeat("c", 1, 7))
                await asyncio.sleep(0.05)
            return got, opened


async def test_both_with_certificates_of_one_authority_talk(here, issue):
    authority = trustme.CA()
    server = open_tls(issue(authority, "server")).unwrap()
    client = open_tls(issue(authority, "client")).unwrap()
    got, _ = await exchange(here, server, client)
    assert [beat.revision for beat in got] == [7]


@pytest.mark.parametrize(
    ("options", "reason"),
    [({"expired": True}, "expired"), ({"address": "127.0.0.9"}, "IP address mismatch")],
)
async def test_bad_server_certificate_is_refused_with_its_reason(
    here, issue, options, reason
):
    authority = trustme.CA()
    server = open_tls(issue(authority, "server", **options)).unwrap()
    client = open_tls(issue(authority, "client")).unwrap()
    got, opened = await exchange(here, server, client)
    assert got == []
    assert reason in opened.unwrap_err().reason


async def test_untrusted_ends_are_refused_both_ways(here, issue):
    authority = trustme.CA()
    ours = open_tls(issue(authority, "ours")).unwrap()
    other = open_tls(issue(trustme.CA(), "other")).unwrap()
    _, opened = await exchange(here, other, ours)
    assert "certificate refused" in opened.unwrap_err().reason
    untrusted = issue(trustme.CA(), "untrusted")
    authority.cert_pem.write_to_path(untrusted.authority)
    got, opened = await exchange(here, ours, open_tls(untrusted).unwrap())
    assert isinstance(opened, Err)
    assert got == []


async def test_plain_client_is_refused(here, issue):
    server = open_tls(issue(trustme.CA(), "server")).unwrap()
    plain = open_tls(TlsSettings(enabled=False)).unwrap()
    got, opened = await exchange(here, server, plain)
    assert isinstance(opened, Err)
    assert got == []


async def test_new_files_are_loaded_without_a_restart(here, issue):
    # The server's certificate has expired. Its files are replaced while it runs, and
    # the next stream succeeds; an invalid file in between has no effect.
    authority = trustme.CA()
    settings = issue(authority, "server", expired=True)
    server = open_tls(settings).unwrap()
    client = open_tls(issue(authority, "client")).unwrap()
    reloading = asyncio.create_task(reload_tls(server, seconds=0.05))
    _, opened = await exchange(here, server, client)
    assert "expired" in opened.unwrap_err().reason
    with open(settings.key, "w") as key:
        key.write("broken")
    await asyncio.sleep(0.15)
    issue(authority, "server")
    await asyncio.sleep(0.15)
    got, _ = await exchange(here, server, client)
    reloading.cancel()
    assert len(got) == 1


async def test_store_over_mutual_tls(here, issue):
    authority = trustme.CA()
    server = open_tls(issue(authority, "store")).unwrap()
    client = open_tls(issue(authority, "client")).unwrap()
    untrusted = open_tls(issue(trustme.CA(), "untrusted")).unwrap()
    settings = StoreSettings(address=here)
    async with object_store(here, tls=server.server):
        good = StoreClient(settings, tls=client.client)
        assert (await good.put("a", b"1")).is_ok()
        refused = await StoreClient(settings, tls=untrusted.client).get("a")
        assert isinstance(refused.unwrap_err(), StoreUnavailable)
        assert "certificate" in str(refused.unwrap_err())


def test_missing_file_names_the_field():
    settings = TlsSettings(enabled=True, certificate="c", key="k", authority="none.pem")
    error = open_tls(settings).unwrap_err()
    assert (error.path, error.file) == ("$.tls.authority", "none.pem")


async def test_daemons_talk_only_over_tls_when_it_is_on(base_port, issue):
    # Balancer, agent and store have certificates of one authority and connect to each
    # other. A process without a certificate can't open a stream to either daemon.
    authority = trustme.CA()
    tls = open_tls(issue(authority, "daemon")).unwrap()
    store, entry, hub = (
        Address(host="127.0.0.1", port=base_port + number) for number in range(3)
    )
    common = {
        "datacentre": "chuo-hall",
        "store": StoreSettings(address=store),
        "fabrics": (),
        "seeds": (entry,),
    }
    first = BalancerSettings(name="entry-1", listen=entry, **common)
    second = AgentSettings(
        name="hub-1", listen=hub, service="order-hub", endpoint=hub, **common
    )
    known = Members()
    async with (
        object_store(store, tls=tls.server) as objects,
        balancer(first, Configuration(), known, tls=tls),
        agent(second, Configuration(), Members(), tls=tls),
    ):
        async with asyncio.timeout(10):
            while "hub-1" not in known.known or not objects.calls["put"]:
                await asyncio.sleep(0.05)
        for address in (entry, hub):
            async with open_peer(address, hello("plain"), LIMITS) as opened:
                assert isinstance(opened, Err)
