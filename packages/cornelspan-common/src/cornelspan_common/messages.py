"""The union of all messages that a stream between two processes may carry.

Tag ranges: packets 1-19, ownership 20-39, requests 40-59, control 60-89.
"""

from cornelspan_common.control import (
    Announce,
    AnnounceList,
    Gone,
    Heartbeat,
    Membership,
    MemberStatus,
    Revision,
    RevisionRequest,
    Status,
    StatusRequest,
    Subscribe,
    Suspect,
    Verdict,
)
from cornelspan_common.ownership import (
    Claim,
    ClaimAnswer,
    Handoff,
    HandoffAnswer,
    Load,
    Owner,
)
from cornelspan_common.packets import Hello, Hint, Leaving, Packet, Routed
from cornelspan_common.requests import (
    AnswerAck,
    AnswerFailed,
    AnswerPart,
    AnswerStart,
    KeyClaim,
    KeyDone,
    KeyLeave,
    KeyRecords,
    KeyRelease,
    KeySync,
    KeyVote,
    RequestCancel,
    RequestPart,
    RequestStart,
)
from cornelspan_common.service_levels import SealedMinute, ServiceCounts

AnyMessage = (
    Hello
    | Packet
    | Routed
    | Hint
    | Leaving
    | Claim
    | ClaimAnswer
    | Handoff
    | HandoffAnswer
    | Load
    | Owner
    | Announce
    | AnnounceList
    | Gone
    | Heartbeat
    | Subscribe
    | Membership
    | RevisionRequest
    | Revision
    | Suspect
    | Verdict
    | StatusRequest
    | MemberStatus
    | Status
    | ServiceCounts
    | SealedMinute
    | RequestStart
    | RequestPart
    | RequestCancel
    | AnswerStart
    | AnswerPart
    | AnswerFailed
    | AnswerAck
    | KeyClaim
    | KeyVote
    | KeyRelease
    | KeyDone
    | KeySync
    | KeyRecords
    | KeyLeave
)
