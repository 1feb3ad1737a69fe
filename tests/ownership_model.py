"""Simulation of the ownership protocol with agents, a fabric and two balancers.

Runs the real ``Ownership`` on an in-memory network. A chooser picks each next action
from a list of all possible ones, at random or exhaustively. Messages are reordered,
time out, or arrive after their timeout. Agents join and crash, and each agent and
balancer learns of that separately, in any order.
"""

from functools import partial

import msgspec
from result import Err, Ok

from cornelspan_common.hashing import name_seed, rank, score
from cornelspan_common.ownership import Claim
from cornelspan_common.packets import Kind, Packet
from cornelspan_ownership.handlers import answer_claim, answer_handoff
from cornelspan_ownership.interfaces import CallError
from cornelspan_ownership.ownership import MAX_HOPS_TO_HOME
from ownership_agents import Agent

ADDRESS = "127.0.0.1:80"


def agent_names(records):
    return tuple(entry.value.name for entry in records.entries.values())


def without_question(message):
    return msgspec.structs.replace(message, query_id=0)


def comparable(item):
    kind, name, content, extra = item
    if kind == "open":
        return item
    asked = without_question(content.message)
    if kind == "ask":
        return kind, name, asked, extra.name
    return kind, name, asked, extra[0], without_question(extra[1].unwrap())


def waiting_key(waiting):
    agent, _, call, _ = waiting
    asked = without_question(call.message)
    return agent.name, asked, tuple(call.names), tuple(sorted(call.answers))


def default_outranks(flow, one, other):
    first = score(flow, name_seed(one), 1.0)
    return first > score(flow, name_seed(other), 1.0)


class Simulation:
    """All processes, messages in flight, and the possible next actions.

    ``unknown_agents`` has for each balancer the agents that it does not know at the
    start, as after minutes without the store. ``initial_loads`` has the number of busy
    slots that peers assume of an agent at the start. With ``always_stable`` agents
    treat their group as stable after every change.
    """

    def __init__(
        self,
        flow,
        choose,
        *,
        agents=3,
        unknown_agents=((), ()),
        opens=3,
        joins=1,
        crashes=1,
        timeouts=1,
        drains=1,
        slots=(0, 1, 1),
        initial_loads=None,
        always_stable=False,
        outranks=default_outranks,
    ):
        self.flow = flow
        self.choose = choose
        self.always_stable = always_stable
        self.outranks = outranks
        self.now = 0.0
        self.remaining = {
            "open": opens,
            "join": joins,
            "crash": crashes,
            "time out": timeouts,
            "drain": drains,
        }
        names = [f"agent-{number}" for number in range(agents)]
        self.initial_loads = initial_loads or {}
        self.agents = {}
        for number, name in enumerate(names):
            view = {other: 1 for other in names if other != name}
            self.agents[name] = Agent(self, name, slots[number % len(slots)], view)
        self.views = [set(names) - set(unknown) for unknown in unknown_agents]
        self.in_flight = []
        self.waiting = []
        self.owner = ""
        self.refused = False
        self.crashed_owner = False
        self.steps = 0
        self.failure = ""

    def rank(self, flow, names):
        seeds = [(name, name_seed(name), 1.0) for name in sorted(set(names))]
        return tuple(rank(flow, seeds))

    def accepted(self, agent, flow):
        owners = [a.name for a in self.agents.values() if a.alive and flow in a.owned]
        if len(owners) > 1:
            self.failure = f"two owners: {owners}"
        self.owner = self.owner or agent.name

    def run(self):
        """Take actions until none is left, then deliver the rest and check owners."""
        while self.remaining["open"] or self.in_flight or self.waiting:
            if not self.advance():
                break
        return self.failure or self.finish()

    def advance(self):
        """Take one action: choose its kind, then one action of that kind."""
        kinds = [actions for actions in self.actions() if actions]
        if not kinds or self.failure:
            return False
        actions = kinds[self.choose(len(kinds))]
        actions[self.choose(len(actions))]()
        self.steps += 1
        return True

    def actions(self):
        """Return the possible next actions, one list for each kind."""
        alive = [agent for agent in self.agents.values() if agent.alive]
        asked = [
            (waiting, name)
            for waiting in self.waiting
            for name in waiting[2].names
            if name not in waiting[2].answers
        ]
        crashable = alive if len(alive) > 2 else []
        return [
            [partial(self.deliver, index) for index in range(len(self.in_flight))],
            self.limited_actions(
                "open", self.send_open, [(b,) for b in range(len(self.views))]
            ),
            self.limited_actions("time out", self.time_out, asked),
            self.limited_actions(
                "crash", self.crash, [(agent,) for agent in crashable]
            ),
            self.limited_actions("join", self.join, [()]),
            self.limited_actions("drain", self.drain, [(agent,) for agent in alive]),
            self.updates(),
        ]

    def limited_actions(self, kind, act, arguments):
        """Return the actions of a kind, none once its number is used up."""
        if not self.remaining[kind]:
            return []
        return [partial(self.use_budget, kind, act, *each) for each in arguments]

    def updates(self):
        """Return the membership updates that agents and balancers have not received."""
        found = []
        dead = [a.name for a in self.agents.values() if not a.alive]
        for agent in (a for a in self.agents.values() if a.alive):
            found += [
                lambda a=agent, n=n: self.remove_agent(a, n)
                for n in dead
                if n not in agent.gone
            ]
            new = [n for n in self.agents if n not in agent.view and n != agent.name]
            found += [
                lambda a=agent, n=n: a.add_agent(n)
                for n in new
                if n not in agent.gone and n not in dead
            ]
        for view in self.views:
            found += [lambda v=view, n=n: v.discard(n) for n in dead if n in view]
            found += [
                lambda v=view, n=n: v.add(n)
                for n, a in self.agents.items()
                if a.alive and n not in view
            ]
        return found

    def use_budget(self, kind, act, *arguments):
        self.remaining[kind] -= 1
        act(*arguments)

    def send_open(self, balancer):
        candidates = self.rank(self.flow, self.views[balancer])
        if candidates:
            self.in_flight.append(("open", candidates[0], candidates, 0))

    def deliver(self, index):
        kind, name, content, extra = self.in_flight.pop(index)
        agent = self.agents[name]
        if not agent.alive:
            return
        if kind == "open":
            packet = Packet(int(Kind.OPEN), self.flow, ADDRESS, "fabric")
            coroutine = agent.state.open(packet, content, extra)
            self.step(agent, coroutine, None, (content, extra))
        elif kind == "ask":
            self.answer(agent, content, extra)
        else:
            self.answered(content, name, *extra)

    def answer(self, agent, call, sender):
        message = call.message
        agent.add_agent(message.home)
        if type(message) is Claim:
            reply = answer_claim(agent.state, message)
        else:
            reply = answer_handoff(agent.state, message)
        if reply is not None:
            self.in_flight.append(
                ("answer", sender.name, call, (agent.name, Ok(reply)))
            )

    def answered(self, call, _, name, answer):
        for waiting in self.waiting:
            if waiting[2] is call:
                call.answers.setdefault(name, answer)
                self.resume(waiting)
                return

    def time_out(self, waiting, name):
        waiting[2].answers[name] = Err(CallError(name, gone=False))
        self.resume(waiting)

    def resume(self, waiting):
        agent, coroutine, call, context = waiting
        if len(call.answers) == len(call.names):
            self.waiting.remove(waiting)
            answers = [call.answers[name] for name in call.names]
            self.step(agent, coroutine, answers, context)

    def step(self, agent, coroutine, value, context):
        try:
            call = coroutine.send(value)
        except StopIteration as done:
            self.opened(done.value, context)
            return
        self.waiting.append((agent, coroutine, call, context))
        for name in call.names:
            self.in_flight.append(("ask", name, call, agent))

    def opened(self, opened, context):
        candidates, hops = context
        match type(opened).__name__:
            case "ForwardTo" if hops < 2 * MAX_HOPS_TO_HOME:
                self.in_flight.append(("open", opened.home, candidates, hops + 1))
            case "Rejected":
                self.refused = True

    def crash(self, agent):
        agent.alive = False
        self.crashed_owner |= self.flow in agent.owned
        for waiting in [w for w in self.waiting if w[0] is agent]:
            self.waiting.remove(waiting)
            waiting[1].close()

    def join(self):
        name = f"agent-{len(self.agents)}"
        view = {n: 1 for n, a in self.agents.items() if a.alive}
        self.agents[name] = Agent(self, name, 2, view, stable=False)

    def drain(self, agent):
        agent.slots = 0

    def remove_agent(self, agent, name):
        agent.remove_agent(name)
        for waiting in list(self.waiting):
            call = waiting[2]
            asked = waiting[0] is agent and name in call.names
            if asked and name not in call.answers:
                call.answers[name] = Err(CallError(name, gone=True))
                self.resume(waiting)

    def state(self):
        """Return everything that later steps depend on, to compare states."""
        agents = tuple(
            (
                a.name,
                (a.alive, a.stable, a.slots, tuple(sorted(a.view))),
                (tuple(a.owned), tuple(sorted(a.gone))),
                agent_names(a.state.directory.owners),
                agent_names(a.state.directory.homes),
                (
                    agent_names(a.state.directory.ended),
                    agent_names(a.state.unanswered_handoffs),
                ),
                tuple((p.placing, p.target) for p in a.state.pending.values()),
                tuple(repr(peer) for peer in a.state.loads.peers.values()),
            )
            for a in self.agents.values()
        )
        in_flight = tuple(sorted(map(repr, map(comparable, self.in_flight))))
        waiting = tuple(sorted(repr(waiting_key(each)) for each in self.waiting))
        views = tuple(tuple(sorted(view)) for view in self.views)
        return (agents, in_flight, waiting, views, tuple(self.remaining.values()))

    def finish(self):
        """Deliver all updates and messages, retry the OPEN, and check for one owner."""
        for agent in self.agents.values():
            agent.slots = max(agent.slots, 1)
        for _ in range(8):
            while self.in_flight or self.updates():
                for act in self.updates():
                    act()
                while self.in_flight:
                    self.deliver(0)
                for waiting in list(self.waiting):
                    for name in waiting[2].names:
                        if name not in waiting[2].answers:
                            self.time_out(waiting, name)
            if self.failure:
                return self.failure
            self.now += 2.0
            for balancer in range(len(self.views)):
                self.send_open(balancer)
        alive = [a for a in self.agents.values() if a.alive]
        owners = [a.name for a in alive if self.flow in a.owned]
        if len(owners) == 1 or (self.crashed_owner and self.refused):
            return self.failure
        return f"owners at rest: {owners}"
