"""Slots, queue and shedding with a simulated clock."""

from hypothesis import given, strategies as st

from cornelspan_control.profiles import RequestPolicy
from cornelspan_requests.admission import MAX_QUEUED_BYTES, Admission
from cornelspan_requests.outcomes import Reason, RequestOutcome
from cornelspan_requests.queue import Ticket

POLICY = RequestPolicy(queue=4, caller_share=0.5)


def ticket(caller="a", priority=5, deadline=10.0, size=0):
    return Ticket(caller, priority, deadline, 0.0, size)


steps = st.lists(
    st.tuples(
        st.sampled_from(["offer", "finish", "cancel"]),
        st.sampled_from("abc"),
        st.integers(0, 9),
        st.floats(0.01, 3.0),
        st.floats(0.0, 0.2),
    ),
    max_size=80,
)


@given(steps, st.integers(1, 4))
def test_every_ticket_ends_in_one_way(steps, slots):
    admission = Admission(slots)
    now = 0.0
    running, waiting, ended = [], [], []
    for action, caller, priority, window, passed in steps:
        now += passed
        if action == "offer":
            new = Ticket(caller, priority, now + window, now)
            decision = admission.offer(new, POLICY, now=now)
            if decision.rejection is not None:
                ended.append(new)
                assert decision.rejection.outcome is RequestOutcome.NOT_RUN
                assert decision.rejection.retry_after >= 1
            else:
                (running if decision.started else waiting).append(new)
            for dropped in decision.shed:
                waiting.remove(dropped.ticket)
                ended.append(dropped.ticket)
        elif action == "finish" and running:
            done = running.pop(0)
            ended.append(done)
            for started in admission.finish(done, now=now):
                waiting.remove(started)
                running.append(started)
        elif action == "cancel" and waiting:
            gone = waiting.pop()
            ended.append(gone)
            assert admission.cancel(gone)
        assert admission.running == len(running) <= slots
        assert sorted(map(id, admission.queue.tickets)) == sorted(map(id, waiting))
        assert len(waiting) <= POLICY.queue
        assert not waiting or len(running) == slots
        positions = [
            waiting_ticket.position for waiting_ticket in admission.queue.tickets
        ]
        assert positions == sorted(positions)
        if action == "offer" and new in waiting:
            own = sum(t.caller == new.caller for t in waiting)
            assert own <= 2 or own == len(waiting)
    assert len({id(t) for t in ended}) == len(ended)


def test_sole_caller_may_fill_the_queue_until_another_comes():
    admission = Admission(1)
    admission.offer(ticket("hall"), POLICY, now=0.0)
    for _ in range(POLICY.queue):
        assert admission.offer(ticket("hall"), POLICY, now=0.0).rejection is None
    decision = admission.offer(ticket("phone"), POLICY, now=0.0)
    assert [dropped.ticket.caller for dropped in decision.shed] == ["hall"]
    assert admission.queue.tickets[0].caller == "phone"
    over = admission.offer(ticket("hall"), POLICY, now=0.0)
    assert over.rejection.reason is Reason.CALLER_SHARE


def full(policy=POLICY, *, priority=5):
    admission = Admission(1)
    admission.offer(ticket(), policy, now=0.0)
    for number in range(policy.queue):
        admission.offer(ticket(f"c{number}", priority), policy, now=0.0)
    return admission


def test_better_priority_pushes_the_last_out_at_once():
    decision = full().offer(ticket("z", 0), POLICY, now=0.0)
    assert decision.rejection is None
    (dropped,) = decision.shed
    assert dropped.rejection.reason is Reason.QUEUE_FULL
    assert dropped.ticket.priority == 5


def test_no_better_request_is_refused_when_full():
    decision = full(priority=0).offer(ticket("z", 5), POLICY, now=0.0)
    assert decision.rejection.reason is Reason.QUEUE_FULL


def test_deadline_that_cannot_be_met_is_refused_before_it_waits():
    admission = full()
    admission.times.mean = 1.0
    decision = admission.offer(ticket("z", 9, deadline=3.0), POLICY, now=0.0)
    assert decision.rejection.reason is Reason.DEADLINE


def test_crowding_goes_before_deadline():
    # Ordered by deadline alone, a caller with many requests and short deadlines would
    # always be served first.
    policy = RequestPolicy(queue=20, caller_share=1.0)
    admission = Admission(1)
    for _ in range(10):
        admission.offer(ticket("flood", deadline=2.0), policy, now=0.0)
    admission.offer(ticket("other", deadline=9.0), policy, now=0.0)
    (first,) = admission.finish(admission.queue.tickets[0], now=0.01)
    assert first.caller == "other"


def test_bodies_in_the_queue_are_bounded():
    admission = Admission(1)
    admission.offer(ticket(), POLICY, now=0.0)
    big = ticket("b", size=MAX_QUEUED_BYTES + 1)
    assert admission.offer(big, POLICY, now=0.0).rejection.reason is Reason.QUEUE_FULL
