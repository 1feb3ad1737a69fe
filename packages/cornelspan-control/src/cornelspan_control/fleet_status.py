"""Queries relays for the status of the whole fleet, for operators."""

import asyncio
import time
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from cornelspan_common.control import Announce, MemberStatus, Status, StatusRequest
from cornelspan_common.errors import StreamError
from cornelspan_common.packets import Hello
from cornelspan_common.settings import Address, ClientSettings
from cornelspan_common.streams import PROTOCOL, batches, open_peer
from cornelspan_control.members import Members
from cornelspan_control.relay_selection import select_relays
from cornelspan_control.roster import ROSTER_PREFIX, Roster
from cornelspan_control.store import StoreClient

STATUS_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The status reports of all data centres, and warnings."""

    answers: tuple[Status, ...]
    warnings: tuple[str, ...]

    @property
    def revision(self) -> int:
        """The newest revision in force anywhere."""
        return max((answer.revision for answer in self.answers), default=0)

    def members(self) -> list[MemberStatus]:
        """Return the newest status of each member, sorted by name."""
        newest: dict[str, MemberStatus] = {}
        for answer in self.answers:
            for status in answer.members:
                known = newest.get(status.member.name)
                if known is None or _is_newer(status, known):
                    newest[status.member.name] = status
        return [newest[name] for name in sorted(newest)]

    def members_behind(self, revision: int) -> list[str]:
        """Return the names of members with an older revision in force."""
        return [s.member.name for s in self.members() if s.revision < revision]


def _is_newer(status: MemberStatus, known: MemberStatus) -> bool:
    if status.member.incarnation != known.member.incarnation:
        return status.member.incarnation > known.member.incarnation
    return status.revision > known.revision


async def read_fleet_status(
    client: StoreClient, settings: ClientSettings, *, name: str
) -> FleetStatus:
    """Query one relay of each data centre and the balancers named in the settings.

    Args:
        client: The store, which lists the members of each data centre.
        settings: Balancers to query as well, and limits of the streams.
        name: Name of this client.
    """
    members, warnings = await _read_members(client)
    centres = members.datacentres()
    requests = [
        _datacentre_status(settings, client, members, each, name) for each in centres
    ]
    requests += [
        _balancer_status(settings, client, each, name) for each in settings.balancers
    ]
    answers: dict[str, Status] = {}
    for answer in await asyncio.gather(*requests):
        match answer:
            case Ok(status):
                answers[status.name] = status
                warnings += status.warnings
            case Err(error):
                warnings.append(str(error))
    if not requests:
        warnings.append("no balancer is known; name one in the settings")
    return FleetStatus(tuple(answers.values()), tuple(dict.fromkeys(warnings)))


async def _read_members(client: StoreClient) -> tuple[Members, list[str]]:
    members = Members()
    match await client.list_objects(ROSTER_PREFIX):
        case Err(error):
            return members, [str(error)]
        case Ok(listing):
            names = [name for name, _ in listing.objects]
    warnings = []
    for read in await asyncio.gather(*(client.get(name) for name in names)):
        match read:
            case Ok(found):
                for member in _roster_members(found.value):
                    members.record(member)
            case Err(error):
                warnings.append(str(error))
    return members, warnings


def _roster_members(value: bytes) -> tuple[Announce, ...]:
    try:
        return msgspec.json.decode(value, type=Roster).members
    except msgspec.DecodeError:
        return ()


async def _datacentre_status(
    settings: ClientSettings,
    client: StoreClient,
    members: Members,
    datacentre: str,
    name: str,
) -> Result[Status, StreamError]:
    """Query the relays of a data centre in turn until one answers."""
    answer: Result[Status, StreamError] = Err(StreamError(datacentre, "no relay"))
    for relay in select_relays(members, datacentre):
        member = members.known[relay]
        address = Address(host=member.host, port=member.port)
        answer = await _balancer_status(settings, client, address, name)
        if answer.is_ok():
            return answer
    return answer


async def _balancer_status(
    settings: ClientSettings, client: StoreClient, address: Address, name: str
) -> Result[Status, StreamError]:
    incarnation = time.time_ns() // 1_000_000
    hello = Hello(PROTOCOL, "client", name, "", incarnation)
    async with open_peer(address, hello, settings.streams, tls=client.tls) as opened:
        match opened:
            case Err(error):
                return Err(error)
            case Ok(peer):
                peer.send(StatusRequest())
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                async for batch in batches(peer):
                    for message in batch:
                        if isinstance(message, Status):
                            return Ok(message)
        except TimeoutError:
            return Err(StreamError(str(address), "no status in time"))
    return Err(StreamError(str(address), "closed without a status"))
