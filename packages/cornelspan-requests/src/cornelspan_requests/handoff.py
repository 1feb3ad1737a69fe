"""Handoff of requests between the agents of a service.

    match await handoffs.send("agent-3", request, answer):
        case Ok(status): ...

The receiver runs a request once it has received all of it, and never hands it off
again. Answers are sent back in parts with at most ``WINDOW_BYTES`` unacknowledged. So a
slow caller slows the backend server down, and agents don't buffer whole answers.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from cornelspan_common.packets import Message
from cornelspan_common.requests import (
    AnswerAck,
    AnswerFailed,
    AnswerPart,
    AnswerStart,
    RequestCancel,
    RequestPart,
    RequestStart,
)
from cornelspan_common.tasks import Tasks
from cornelspan_requests.backend import AnswerSink
from cornelspan_requests.exchange import Request
from cornelspan_requests.outcomes import AnswerHead, Failure, Reason, RequestOutcome

PART_BYTES = 65536
WINDOW_BYTES = 262144
ANSWER_GRACE_SECONDS = 0.25

Send = Callable[[str, Message], bool]
Run = Callable[[Request, AnswerSink], Awaitable[Result[int, Failure]]]
AnswerMessage = AnswerStart | AnswerPart | AnswerFailed | None


@dataclass
class SentRequest:
    """A request that was handed off to another agent.

    ``answer_messages`` gets the messages of its answer, and None if the stream to the
    agent is lost.
    """

    name: str
    answer_messages: asyncio.Queue[AnswerMessage] = field(default_factory=asyncio.Queue)


@dataclass
class ReceivedRequest:
    """A request that another agent handed off to this one.

    First its ``body`` is collected, then ``task`` runs it and sends the answer back.
    ``sent`` is the offset of the next part of the answer. ``unacknowledged`` counts its
    bytes that the sender has not yet passed on to the caller.
    """

    start: RequestStart
    sender: str
    send: Send
    body: bytearray = field(default_factory=bytearray)
    task: asyncio.Task | None = None
    sent: int = 0
    unacknowledged: int = 0
    window_open: asyncio.Event = field(default_factory=asyncio.Event)

    async def start_answer(self, head: AnswerHead) -> bool:
        """Send status and headers back."""
        number = self.start.number
        message = AnswerStart(number, head.status, head.reason, head.headers)
        return self.send(self.sender, message)

    async def write(self, chunk: bytes) -> bool:
        """Send a part of the body back; wait while too much is unacknowledged."""
        for start in range(0, len(chunk), PART_BYTES):
            part = chunk[start : start + PART_BYTES]
            while self.unacknowledged >= WINDOW_BYTES:
                self.window_open.clear()
                await self.window_open.wait()
            self.unacknowledged += len(part)
            if not self._send_part(part, last=False):
                return False
        return True

    def end_answer(self) -> None:
        """Send the end of the answer."""
        self._send_part(b"", last=True)

    def _send_part(self, part: bytes, *, last: bool) -> bool:
        """Send a part of the answer; False if the stream is lost."""
        message = AnswerPart(self.start.number, self.sent, part, last)
        self.sent += len(part)
        return self.send(self.sender, message)

    def acknowledge(self, size: int) -> None:
        """Note that ``size`` more bytes were passed on to the caller."""
        self.unacknowledged -= size
        self.window_open.set()


@dataclass(frozen=True, slots=True)
class _PeerSink:
    """The answer sink of a request that came from another agent."""

    request: ReceivedRequest

    async def start(self, head: AnswerHead) -> bool:
        return await self.request.start_answer(head)

    async def write(self, chunk: bytes) -> bool:
        return await self.request.write(chunk)


@dataclass
class Handoffs:
    """All requests handed off between this agent and the others of its service.

    ``send_message`` sends a message to an agent by name, and returns False if there is
    no stream to it. ``run`` runs a request of another agent. ``number`` is that of the
    last request handed off.
    """

    send_message: Send
    run: Run
    tasks: Tasks
    number: int = 0
    outgoing: dict[int, SentRequest] = field(default_factory=dict)
    incoming: dict[tuple[str, int], ReceivedRequest] = field(default_factory=dict)

    async def send(
        self, name: str, request: Request, sink: AnswerSink
    ) -> Result[int, Failure]:
        """Hand a request off to another agent, and pass its answer to a sink.

        Args:
            name: The other agent.
            request: The request.
            sink: Gets the answer as it arrives.

        Returns:
            The status once the whole answer was passed on, or why it was not.
        """
        self.number += 1
        number = self.number
        sent = SentRequest(name)
        self.outgoing[number] = sent
        finished = False
        try:
            if not await self._send_request(name, number, request):
                # The receiver runs a request only once it has the last part.
                return Err(Failure(RequestOutcome.NOT_RUN, Reason.REFUSED))
            async with asyncio.timeout_at(request.deadline + ANSWER_GRACE_SECONDS):
                result = await self._pass_answer(sent, number, sink)
                finished = True
                return result
        except TimeoutError:
            return Err(Failure(RequestOutcome.UNKNOWN, Reason.DEADLINE))
        finally:
            del self.outgoing[number]
            if not finished:
                self.send_message(name, RequestCancel(number))

    def receive(self, sender: str, message: Message) -> None:
        """Process a message about a handed-off request or its answer."""
        match message:
            case RequestStart(number):
                received = ReceivedRequest(message, sender, self.send_message)
                self.incoming[sender, number] = received
            case RequestPart(number):
                self._receive_part(sender, message)
            case RequestCancel(number):
                self._cancel(sender, number)
            case AnswerAck(number, size):
                received = self.incoming.get((sender, number))
                if received is not None:
                    received.acknowledge(size)
            case AnswerStart(number) | AnswerPart(number) | AnswerFailed(number):
                sent = self.outgoing.get(number)
                if sent is not None and sent.name == sender:
                    sent.answer_messages.put_nowait(message)

    def peer_lost(self, name: str) -> None:
        """Fail what was handed off to an agent, and cancel what it handed off here."""
        for sent in self.outgoing.values():
            if sent.name == name:
                sent.answer_messages.put_nowait(None)
        for sender, number in list(self.incoming):
            if sender == name:
                self._cancel(sender, number)

    async def _send_request(self, name: str, number: int, request: Request) -> bool:
        """Send a request in parts; False if the stream is lost."""
        remaining = request.deadline - asyncio.get_running_loop().time()
        start = RequestStart(
            number,
            request.method,
            request.target,
            request.headers,
            request.caller,
            max(0, int(remaining * 1000)),
            request.priority,
            len(request.body),
        )
        if not self.send_message(name, start):
            return False
        for offset in range(0, max(1, len(request.body)), PART_BYTES):
            part = request.body[offset : offset + PART_BYTES]
            last = offset + PART_BYTES >= len(request.body)
            if not self.send_message(name, RequestPart(number, offset, part, last)):
                return False
            if not last:
                # The messages of one iteration of the event loop are sent as one frame,
                # whose size is limited.
                await asyncio.sleep(0)
        return True

    async def _pass_answer(
        self, sent: SentRequest, number: int, sink: AnswerSink
    ) -> Result[int, Failure]:
        """Pass the parts of an answer on to a sink as they arrive."""
        status = passed_bytes = 0
        while True:
            caller_waiting = True
            match await sent.answer_messages.get():
                case None:
                    return Err(Failure(RequestOutcome.UNKNOWN, Reason.BROKEN))
                case AnswerFailed(_, outcome, reason, retry_after):
                    failure = Failure(
                        RequestOutcome(outcome), Reason(reason), retry_after
                    )
                    return Err(failure)
                case AnswerStart(_, status, reason, headers):
                    caller_waiting = await sink.start(
                        AnswerHead(status, reason, headers)
                    )
                case AnswerPart(offset=offset) if offset != passed_bytes or not status:
                    return Err(Failure(RequestOutcome.UNKNOWN, Reason.BROKEN))
                case AnswerPart(body=body, last=last):
                    passed_bytes += len(body)
                    caller_waiting = await sink.write(body)
                    if last:
                        return Ok(status)
                    self.send_message(sent.name, AnswerAck(number, len(body)))
            if not caller_waiting:
                self.send_message(sent.name, RequestCancel(number))
                return Err(Failure(RequestOutcome.UNKNOWN, Reason.CANCELLED))

    def _receive_part(self, sender: str, part: RequestPart) -> None:
        """Add a part of a request's body; run the request once it is complete.

        Parts of unknown or started requests are ignored. A request whose body is
        incomplete, out of order or too long is reported as not run.
        """
        received = self.incoming.get((sender, part.number))
        if received is None or received.task is not None:
            return
        in_order = part.offset == len(received.body)
        received.body += part.body
        complete = in_order and len(received.body) == received.start.length
        if part.last and complete:
            run = self._run(received)
            name = f"request {part.number} of {sender}"
            received.task = self.tasks.start(run, name=name)
        elif part.last or not in_order or len(received.body) > received.start.length:
            # The body is incomplete or too long, e.g. because a stream was lost between
            # two parts. Running it would run another request than the one sent.
            del self.incoming[sender, part.number]
            self._fail(received, Failure(RequestOutcome.NOT_RUN, Reason.BROKEN))

    async def _run(self, received: ReceivedRequest) -> None:
        """Run a request of another agent, and send its answer back."""
        try:
            result = await self.run(_request_from(received), _PeerSink(received))
            match result:
                case Ok(_):
                    received.end_answer()
                case Err(failure):
                    self._fail(received, failure)
        finally:
            self.incoming.pop((received.sender, received.start.number), None)

    def _fail(self, received: ReceivedRequest, failure: Failure) -> None:
        """Report to the sender that its request got no answer."""
        message = AnswerFailed(
            received.start.number,
            failure.outcome.value,
            failure.reason.value,
            failure.retry_after,
        )
        self.send_message(received.sender, message)

    def _cancel(self, sender: str, number: int) -> None:
        """Cancel a request of another agent."""
        received = self.incoming.pop((sender, number), None)
        if received is not None and received.task is not None:
            received.task.cancel()


def _request_from(received: ReceivedRequest) -> Request:
    """Return the request to run, with its deadline on the local clock."""
    now = asyncio.get_running_loop().time()
    start = received.start
    return Request(
        start.method,
        start.target,
        start.headers,
        bytes(received.body),
        start.caller,
        now,
        now + start.milliseconds / 1000,
        start.priority,
    )
