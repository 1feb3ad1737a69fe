"""HTTP calls of a daemon to one server, within a budget and with a time limit each.

caller = HttpCaller("http://10.0.0.1:80", CallBudget(5.0), call_seconds=2.0)
match await caller.send("GET", "/objects/a"):
    case Ok(response): ...
    case Err(CallRefused() | StoreUnavailable()): ...
    case Err(lost): ...
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
    """Calls that one daemon may make: a token bucket that callers wait for.

    When the store comes back, all daemons want it at once. The wait for a token is
    stretched by a random factor, so that they spread out rather than beat in step.
    """

    def __init__(self, calls_per_second: float, *, seed: int | None = None) -> None:
        self.rate = calls_per_second
        self.tokens = max(1.0, calls_per_second * BURST_SECONDS)
        self.burst = self.tokens
        self.filled_at = time.monotonic()
        self.random = random.Random(seed)

    async def take(self, wait_seconds: float) -> bool:
        """Take a token, waiting for it if need be.

        Returns:
            False if none comes within the time.
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
    """Resolver for IP numbers, which needs no thread for each call."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, tuple]]:
        """Return the one socket address that an IP number and port stand for."""
        if ipaddress.ip_address(host).version == 6:
            return [(socket.AF_INET6, (host, port, 0, 0))]
        return [(socket.AF_INET, (host, port))]


class HttpCaller:
    """Calls to one server; each opens its own connection.

    A connection that went silent without a reset is therefore never met twice.
    ``unreached`` counts the calls that surely did not reach the server.
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
        """Send one request; an exception as error means that its fate is unknown.

        Args:
            method: The HTTP method.
            path: Path and query.
            body: What is sent; None sends none.
            headers: Further headers.
            seconds: Time limit of the whole call; None is ``call_seconds``.
        """
        if not await self.budget.take(self.call_seconds):
            wait = 1 / self.budget.rate
            return Err(CallRefused("this process's call budget is spent", wait))
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
        # is at each orderly stop. So the call itself runs on until the client closes.
        fetching.add_done_callback(_retrieve_exception)
        try:
            return Ok(await asyncio.shield(fetching))
        except (ConnectionRefusedError, ssl.SSLError) as error:
            # No connection stood, so nothing can have reached the server.
            self.unreached += 1
            return Err(StoreUnavailable(reason_of(error)))
        except (HTTPTimeoutError, HTTPStreamClosedError, OSError) as error:
            return Err(error)


def _retrieve_exception(fetching: asyncio.Future[HTTPResponse]) -> None:
    if not fetching.cancelled():
        fetching.exception()
