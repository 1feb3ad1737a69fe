"""Hashing of flows and names with xxh3."""

import math
from collections.abc import Iterable

import xxhash

HASH_RANGE = float(1 << 64)


def flow_key(five_tuple: str) -> int:
    """Return the 64-bit key of a flow from the text of its five-tuple and start."""
    return xxhash.xxh3_64_intdigest(five_tuple.encode())


def name_seed(name: str) -> int:
    """Return the 64-bit seed of a name for ``rank``."""
    return xxhash.xxh3_64_intdigest(name.encode())


def score(flow: int, seed: int, weight: float) -> float:
    """Return an endpoint's score for a flow; the endpoint with the highest is its home.

    This is weighted rendezvous hashing.

    Source: Schindelhauer and Schomaker, "Weighted distributed hash tables" (2005), the
    logarithmic method: ``-weight / ln(u)`` with u uniform in (0, 1).
    """
    digest = xxhash.xxh3_64_intdigest(flow.to_bytes(8, "little"), seed)
    uniform = (digest + 0.5) / HASH_RANGE
    return -weight / math.log(uniform) if uniform < 1.0 else math.inf


def rank(flow: int, endpoints: Iterable[tuple[str, int, float]]) -> list[str]:
    """Return endpoint names, best first, for a flow.

    Args:
        flow: The flow's key.
        endpoints: Name, seed and configured weight of each endpoint.
    """
    scored = [(-score(flow, seed, weight), name) for name, seed, weight in endpoints]
    scored.sort()
    return [name for _, name in scored]
