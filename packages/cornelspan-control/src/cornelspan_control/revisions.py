"""Encodes configurations into messages, once for all receivers, and decodes them."""

import msgspec

from cornelspan_common.control import Revision
from cornelspan_common.logs import get_log
from cornelspan_control.configuration import Delta, Snapshot

log = get_log(__name__)
encoder = msgspec.msgpack.Encoder()
delta_decoder = msgspec.msgpack.Decoder(Delta)
snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


def encode(newer: Snapshot | Delta) -> Revision:
    """Return the message that carries a snapshot or delta."""
    body = encoder.encode(newer)
    if isinstance(newer, Delta):
        return Revision(newer.base, newer.revision, False, body)
    return Revision(0, newer.revision, True, body)


def decode(revision: Revision) -> Snapshot | Delta | None:
    """Return the snapshot or delta in a message; log and return None if invalid.

    A newer version of the program may send fields that this one doesn't know. The
    configuration in force then stays, and ``status`` shows its older revision.
    """
    decoder = snapshot_decoder if revision.whole else delta_decoder
    try:
        return decoder.decode(revision.body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        log.warning("could not decode configuration", extra={"why": str(error)})
        return None
