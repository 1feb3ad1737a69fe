"""The daemons' metrics in the Prometheus text format.

OpenTelemetry's SDK and its exporter add 4 MB and 70 ms of processor time to the start
of a process (``resource.getrusage`` after the import). A pass-through daemon on a small
VM is started often and has some 25 MB in all.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from cornelspan_passthrough.histograms import Histogram
from cornelspan_passthrough.http_messages import HTTPResponse

if TYPE_CHECKING:
    from cornelspan_passthrough.agent import Agent
    from cornelspan_passthrough.balancer import Balancer

PREFIX = "cornelspan_"


def metrics_text(
    values: Mapping[str, float], histograms: Mapping[str, Histogram]
) -> bytes:
    """Return values and histograms in the text format, sorted by name."""
    lines = [f"{PREFIX}{name} {value}" for name, value in sorted(values.items())]
    for name, histogram in sorted(histograms.items()):
        lines += histogram.lines(f"{PREFIX}{name}")
    return "\n".join([*lines, ""]).encode()


def balancer_metrics(balancer: "Balancer") -> HTTPResponse:
    """Return a balancer's metrics."""
    values = {f"{name}_total": count for name, count in balancer.counts.items()}
    values["client_packets_total"] = balancer.client_packets
    values["pings_total"] = balancer.pings
    values["configuration_version"] = balancer.routes.version
    values["agents"] = len(balancer.members.agents())
    values["learned_flows"] = len(balancer.owners)
    values["datagrams_dropped_total"] = (
        balancer.client_socket.dropped + balancer.daemon_socket.dropped
    )
    histograms = {"search_seconds": balancer.search_times}
    return HTTPResponse(200, metrics_text(values, histograms))


def agent_metrics(agent: "Agent") -> HTTPResponse:
    """Return an agent's metrics."""
    values = {f"{name}_total": count for name, count in agent.counts.items()}
    values["flows"] = len(agent.flows)
    values["requests_running"] = agent.flows.running
    values["requests_waiting"] = len(agent.request_queue)
    values["requests_expired_total"] = agent.request_queue.dropped
    values["repeats_dropped_total"] = agent.request_queue.dropped_packets
    values["recorded_owners"] = len(agent.owner_records)
    values["pace_seconds"] = agent.flows.response_seconds
    values["endpoint_state"] = agent.endpoint.state
    values["datagrams_dropped_total"] = (
        agent.packet_socket.dropped + agent.daemon_socket.dropped
    )
    histograms = {
        "answer_seconds": agent.flows.response_times,
        "waiting_seconds": agent.waiting_times,
    }
    return HTTPResponse(200, metrics_text(values, histograms))
