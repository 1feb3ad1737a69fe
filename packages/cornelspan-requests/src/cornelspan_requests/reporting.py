"""Reports of an agent's service-level counts to the relay balancers it uses."""

import asyncio
import random

from cornelspan_common.settings import AgentSettings
from cornelspan_control.plane import Plane
from cornelspan_requests.objectives import ObjectiveCounts

REPORT_SECONDS = 15.0


async def report_counts(
    counts: ObjectiveCounts, settings: AgentSettings, control_plane: Plane
) -> None:
    """Report the counts at jittered intervals until cancelled.

    The counts of a minute are deleted once the relay balancer has confirmed that they
    are in the store.
    """
    control_plane.on_counts_stored = counts.delete_stored
    while True:
        await asyncio.sleep(REPORT_SECONDS * random.uniform(0.8, 1.2))
        control_plane.send_to_relays(counts.message(settings.name, settings.service))


def report_last(
    counts: ObjectiveCounts, settings: AgentSettings, control_plane: Plane
) -> None:
    """Send the last report, after which this process counts nothing more."""
    last = counts.message(settings.name, settings.service, last=True)
    control_plane.send_to_relays(last)
