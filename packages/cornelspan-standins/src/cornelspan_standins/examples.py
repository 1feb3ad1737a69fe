"""Settings files for a small deployment of separate processes.

    write_examples(Path("examples"))

They come from the same plan functions as the demo's settings, so that the files and
the deployment in one process can't differ. docs/PROCESSES.md uses them.
"""

from dataclasses import replace
from pathlib import Path

import msgspec

from cornelspan_common.settings import Checked, ClientSettings, StoreSettings
from cornelspan_control.profiles import Profile
from cornelspan_standins.deployment import (
    DOCUMENTS,
    ORDERS,
    SHIRAKABA,
    Plan,
    ServicePlan,
    agent_settings,
    balancer_address,
    balancer_settings,
    fabric_settings,
    server_settings,
    store_address,
)
from cornelspan_standins.objects import StoreStandinSettings

BASE_PORT = 18000
SMALL = replace(
    SHIRAKABA,
    services=(
        ServicePlan("order-hub", 2, ORDERS),
        ServicePlan("receipt-render", 1, DOCUMENTS),
    ),
    base_port=BASE_PORT,
)


def example_files(plan: Plan = SMALL) -> dict[str, bytes]:
    """Return the text of each settings file of a plan, by its name."""
    return {name: _text(value) for name, value in example_values(plan).items()}


def example_values(plan: Plan = SMALL) -> dict[str, Checked | Profile]:
    """Return what each file of a plan holds, by its name."""
    address = store_address(plan)
    balancers = range(plan.balancers)
    values: dict[str, Checked | Profile] = {
        "store.json": StoreStandinSettings(
            name="store", listen=address, seed=plan.seed
        ),
        "fabric.json": fabric_settings(plan),
        "cornelspan.json": ClientSettings(
            store=StoreSettings(address=address),
            balancers=tuple(balancer_address(plan, number) for number in balancers),
        ),
    }
    for number in balancers:
        settings = balancer_settings(plan, number)
        values[f"{settings.name}.json"] = settings
    for service in plan.services:
        values[f"profile-{service.profile.name}.json"] = service.profile
        for number in range(service.endpoints):
            agent = agent_settings(plan, service.name, number)
            server = server_settings(plan, service.name, number)
            values[f"{agent.name}.json"] = agent
            values[f"{agent.name}-server.json"] = server
    return values


def write_examples(directory: Path, plan: Plan = SMALL) -> None:
    """Write a plan's settings files into a directory, made if it isn't there."""
    directory.mkdir(parents=True, exist_ok=True)
    for name, text in example_files(plan).items():
        (directory / name).write_bytes(text)


def _text(value: Checked | Profile) -> bytes:
    return msgspec.json.format(msgspec.json.encode(value), indent=2) + b"\n"
