"""HTTP calls of a daemon to one server, with a rate limit and a timeout for each call.

caller = HttpCaller("http://10.0.0.1:80", CallBudget(5.0), call_seconds=2.0)
match await caller.send("GET", "/objects/a"):
    case Ok(response): ...
    case Err(CallRefused() | StoreUnavailable()): ...
    case Err(lost_answer): ...
"""

import asyncio
import ipaddress
import random
import socket
import ssl
import time

from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.netutil import Resolver
from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    HTTPTimeoutError,
    SimpleAsyncHTTPClient,
)

from cornelspan_common.store_errors import CallRefused, StoreUnavailable
from cornelspan_common.tls import reason_of

CONNECTIONS = 16
BURST_SECONDS = 4.0
JITTER = 0.5
BODY_BYTES = 4 * 1024 * 1024


class CallBudget:
    """Rate limit of one daemon's calls: a token bucket whose callers wait for a token.

    When the store comes back after an outage, all daemons call it at the same time. A
    random jitter is added to the wait for a token, so that their calls spread out.

    Args:
        calls_per_second: Rate of tokens; the burst is ``BURST_SECONDS`` of it.
        seed: Seed of the jitter, for tests.
    """

    def __init__(self, calls_per_second: float, *, seed: int | None = None) -> None:
        self.rate = calls_per_second
        self.tokens = max(1.0, calls_per_second * BURST_SECONDS)
        self.burst = self.tokens
        self.filled_at = time.monotonic()
        self.random = random.Random(seed)

    async def take(self, wait_seconds: float) -> bool:
        """Take a token, waiting for it if there is none.

        Returns:
            False, without waiting, if the wait would exceed ``wait_seconds``.
        """
        self._fill()
        self.tokens -= 1
        if self.tokens >= 0:
            return True
        wait = -self.tokens / self.rate * (1 + JITTER * self.random.random())
        if wait > wait_seconds:
            self.tokens += 1
            return False
        await asyncio.sleep(wait)
        return True

    def _fill(self) -> None:
        now = time.monotonic()
        grown = self.tokens + (now - self.filled_at) * self.rate
        self.tokens = min(self.burst, grown)
        self.filled_at = now


class NumericResolver(Resolver):
    """Resolver for IP numbers only; it needs no thread for each call."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, tuple]]:
        """Return the socket address of an IP number and port."""
        if ipaddress.ip_address(host).version == 6:
            return [(socket.AF_INET6, (host, port, 0, 0))]
        return [(socket.AF_INET, (host, port))]


class HttpCaller:
    """HTTP calls to one server; each opens a connection of its own.

    So a connection that has died without a reset can fail only the call that opened it.

    Args:
        url: Scheme, host and port of the server.
        budget: Limits the rate of calls.
        call_seconds: Timeout of one call, and the longest wait for the budget.
        tls: Context for mutual TLS; None for plain HTTP.

    Attributes:
        unreached: Number of calls that failed before they could reach the server.
    """

    def __init__(
        self,
        url: str,
        budget: CallBudget,
        *,
        call_seconds: float,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.url = url
        self.budget = budget
        self.call_seconds = call_seconds
        self.tls = tls
        self.unreached = 0
        AsyncHTTPClient.configure(SimpleAsyncHTTPClient)
        self.http = AsyncHTTPClient(
            force_instance=True,
            max_clients=CONNECTIONS,
            max_buffer_size=BODY_BYTES,
            resolver=NumericResolver(),
        )

    def close(self) -> None:
        """End all calls."""
        self.http.close()

    async def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        seconds: float | None = None,
    ) -> Result[HTTPResponse, CallRefused | StoreUnavailable | Exception]:
        """Send one request.

        Args:
            method: The HTTP method.
            path: Path and query.
            body: Body of the request; None for none.
            headers: Additional headers.
            seconds: Timeout of the whole call; None is ``call_seconds``.

        Returns:
            The response, with any status. ``CallRefused`` or ``StoreUnavailable`` if
            the request has surely not reached the server. An exception if the answer
            was lost, so that the server may have processed the request or may yet.
        """
        if not await self.budget.take(self.call_seconds):
            wait = 1 / self.budget.rate
            return Err(CallRefused("this process's call budget is exhausted", wait))
        request = HTTPRequest(
            self.url + path,
            method=method,
            body=body,
            headers=headers,
            allow_nonstandard_methods=True,
            request_timeout=seconds or self.call_seconds,
            connect_timeout=self.call_seconds,
            ssl_options=self.tls,
        )
        fetching = self.http.fetch(request, raise_error=False)
        # Tornado logs an error for a call that is cancelled while it runs, as the watch
        # is at each graceful stop. So the call itself is shielded and runs on until the
        # client closes.
        fetching.add_done_callback(_retrieve_exception)
        try:
            return Ok(await asyncio.shield(fetching))
        except (ConnectionRefusedError, ssl.SSLError) as error:
            # No connection was established, so nothing can have reached the server.
            self.unreached += 1
            return Err(StoreUnavailable(reason_of(error)))
        except (HTTPTimeoutError, HTTPStreamClosedError, OSError) as error:
            return Err(error)


def _retrieve_exception(fetching: asyncio.Future[HTTPResponse]) -> None:
    if not fetching.cancelled():
        fetching.exception()
