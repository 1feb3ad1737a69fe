"""A deployment of pass-through daemons that several test modules share."""

from cornelspan_standins.packet_world import PacketWorld

BALANCERS = ("10.1.0.10", "10.2.0.10")
ORDERS = ("10.1.0.11", "10.1.0.12", "10.2.0.11")
RECEIPTS = ("10.1.0.13", "10.2.0.13")


def small_world():
    """Return two balancers, three agents of orders and two of receipts, started."""
    world = PacketWorld(seed=1)
    for address in ORDERS:
        world.add_agent(address, "orders")
    for address in RECEIPTS:
        world.add_agent(address, "receipts")
    for address in BALANCERS:
        world.add_balancer(address)
    world.run(0.5)
    return world


def owner_of(world, client):
    """Return the address of the one endpoint that holds a client's flow."""
    key = (client.address, client.port)
    holders = [
        address
        for address, endpoint in world.endpoints.items()
        if key in endpoint.flows and endpoint.flows[key].is_open
    ]
    assert len(holders) == 1
    return holders[0]
