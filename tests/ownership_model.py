"""A small world for the ownership protocol: agents, a fabric, two balancers.

The real ``Ownership`` runs on a network in memory. Whatever may happen next is a list
of actions, and a chooser picks one: at random, or in turn through all of them.
Messages overtake one another, are lost, or time out and arrive all the same; agents
join and crash; agents and balancers hear of it one by one, in any order.
"""

from functools import partial

import msgspec
from result import Err, Ok

from cornelspan_common.hashing import name_seed, rank, score
from cornelspan_common.ownership import Claim
from cornelspan_common.packets import Kind, Packet
from cornelspan_ownership.handlers import answer_claim, answer_handoff
from cornelspan_ownership.interfaces import CallError
from cornelspan_ownership.ownership import MAX_OPEN_HOPS
from ownership_agents import Agent

ADDRESS = "127.0.0.1:80"


def holders(records):
    return tuple(entry.value.name for entry in records.entries.values())


def without_question(message):
    return msgspec.structs.replace(message, question=0)


def described(item):
    kind, name, content, extra = item
    if kind == "open":
        return item
    asked = without_question(content.message)
    if kind == "ask":
        return kind, name, asked, extra.name
    return kind, name, asked, extra[0], without_question(extra[1].unwrap())


def pending(waiting):
    agent, _, call, _ = waiting
    asked = without_question(call.message)
    return agent.name, asked, tuple(call.names), tuple(sorted(call.answers))


def fair_outranks(flow, one, other):
    first = score(flow, name_seed(one), 1.0)
    return first > score(flow, name_seed(other), 1.0)


class World:
    """Everything there is, and what may happen next.

    ``lacking`` has an entry for each balancer: the agents that it does not know at the
    start, as after minutes without the store. ``believed`` is how busy agents are in
    the eyes of their peers at the start.
    """

    def __init__(
        self,
        flow,
        choose,
        *,
        agents=3,
        lacking=((), ()),
        opens=3,
        joins=1,
        crashes=1,
        timeouts=1,
        drains=1,
        slots=(0, 1, 1),
        believed=None,
        trust_time=False,
        outranks=fair_outranks,
    ):
        self.flow = flow
        self.choose = choose
        self.trust_time = trust_time
        self.outranks = outranks
        self.now = 0.0
        self.left = {
            "open": opens,
            "join": joins,
            "crash": crashes,
            "time out": timeouts,
            "drain": drains,
        }
        names = [f"agent-{number}" for number in range(agents)]
        self.believed = believed or {}
        self.agents = {}
        for number, name in enumerate(names):
            view = {other: 1 for other in names if other != name}
            self.agents[name] = Agent(self, name, slots[number % len(slots)], view)
        self.views = [set(names) - set(late) for late in lacking]
        self.flying = []
        self.waiting = []
        self.owner = ""
        self.refused = False
        self.crashed_owner = False
        self.steps = 0
        self.problem = ""

    def rank(self, flow, names):
        seeds = [(name, name_seed(name), 1.0) for name in sorted(set(names))]
        return tuple(rank(flow, seeds))

    def accepted(self, agent, flow):
        owners = [a.name for a in self.agents.values() if a.alive and flow in a.owned]
        if len(owners) > 1:
            self.problem = f"two owners: {owners}"
        self.owner = self.owner or agent.name

    def run(self):
        """Let things happen until nothing more may; then let all come to rest."""
        while self.left["open"] or self.flying or self.waiting:
            if not self.advance():
                break
        return self.problem or self.rest()

    def advance(self):
        """Take one action: first its kind is chosen, then which of the kind."""
        kinds = [actions for actions in self.actions() if actions]
        if not kinds or self.problem:
            return False
        actions = kinds[self.choose(len(kinds))]
        actions[self.choose(len(actions))]()
        self.steps += 1
        return True

    def actions(self):
        """Return what may happen next, a list for each kind."""
        alive = [agent for agent in self.agents.values() if agent.alive]
        asked = [
            (waiting, name)
            for waiting in self.waiting
            for name in waiting[2].names
            if name not in waiting[2].answers
        ]
        enough = alive if len(alive) > 2 else []
        return [
            [partial(self.deliver, index) for index in range(len(self.flying))],
            self.budget("open", self.send_open, [(b,) for b in range(len(self.views))]),
            self.budget("time out", self.time_out, asked),
            self.budget("crash", self.crash, [(agent,) for agent in enough]),
            self.budget("join", self.join, [()]),
            self.budget("drain", self.drain, [(agent,) for agent in alive]),
            self.news(),
        ]

    def budget(self, kind, act, arguments):
        """Return the actions of a kind while any of it are left."""
        if not self.left[kind]:
            return []
        return [partial(self.spend, kind, act, *each) for each in arguments]

    def news(self):
        """What someone has not heard of yet."""
        found = []
        dead = [a.name for a in self.agents.values() if not a.alive]
        for agent in (a for a in self.agents.values() if a.alive):
            found += [
                lambda a=agent, n=n: self.lose(a, n)
                for n in dead
                if n not in agent.gone
            ]
            new = [n for n in self.agents if n not in agent.view and n != agent.name]
            found += [
                lambda a=agent, n=n: a.learn(n)
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

    def spend(self, kind, act, *arguments):
        self.left[kind] -= 1
        act(*arguments)

    def send_open(self, balancer):
        candidates = self.rank(self.flow, self.views[balancer])
        if candidates:
            self.flying.append(("open", candidates[0], candidates, 0))

    def deliver(self, index):
        kind, name, content, extra = self.flying.pop(index)
        agent = self.agents[name]
        if not agent.alive:
            return
        if kind == "open":
            packet = Packet(int(Kind.OPEN), self.flow, ADDRESS, "fabric")
            work = agent.state.open(packet, content, extra)
            self.step(agent, work, None, (content, extra))
        elif kind == "ask":
            self.answer(agent, content, extra)
        else:
            self.answered(content, name, *extra)

    def answer(self, agent, call, asker):
        message = call.message
        agent.learn(message.home)
        if type(message) is Claim:
            reply = answer_claim(agent.state, message)
        else:
            reply = answer_handoff(agent.state, message)
        if reply is not None:
            self.flying.append(("answer", asker.name, call, (agent.name, Ok(reply))))

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
        agent, work, call, context = waiting
        if len(call.answers) == len(call.names):
            self.waiting.remove(waiting)
            answers = [call.answers[name] for name in call.names]
            self.step(agent, work, answers, context)

    def step(self, agent, work, value, context):
        try:
            call = work.send(value)
        except StopIteration as done:
            self.opened(done.value, context)
            return
        self.waiting.append((agent, work, call, context))
        for name in call.names:
            self.flying.append(("ask", name, call, agent))

    def opened(self, opened, context):
        candidates, hops = context
        match type(opened).__name__:
            case "ForwardTo" if hops < 2 * MAX_OPEN_HOPS:
                self.flying.append(("open", opened.home, candidates, hops + 1))
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

    def lose(self, agent, name):
        agent.lose(name)
        for waiting in list(self.waiting):
            call = waiting[2]
            asked = waiting[0] is agent and name in call.names
            if asked and name not in call.answers:
                call.answers[name] = Err(CallError(name, gone=True))
                self.resume(waiting)

    def state(self):
        """Return all that what happens next depends on, to tell states apart."""
        agents = tuple(
            (
                a.name,
                (a.alive, a.stable, a.slots, tuple(sorted(a.view))),
                (tuple(a.owned), tuple(sorted(a.gone))),
                holders(a.state.directory.owners),
                holders(a.state.directory.homes),
                (
                    holders(a.state.directory.ended),
                    holders(a.state.unanswered_handoffs),
                ),
                tuple((p.placing, p.target) for p in a.state.pending.values()),
                tuple(repr(peer) for peer in a.state.loads.peers.values()),
            )
            for a in self.agents.values()
        )
        flying = tuple(sorted(map(repr, map(described, self.flying))))
        waiting = tuple(sorted(repr(pending(each)) for each in self.waiting))
        views = tuple(tuple(sorted(view)) for view in self.views)
        return (agents, flying, waiting, views, tuple(self.left.values()))

    def rest(self):
        """Let all news arrive and all be delivered; then there is one owner."""
        for agent in self.agents.values():
            agent.slots = max(agent.slots, 1)
        for _ in range(8):
            while self.flying or self.news():
                for act in self.news():
                    act()
                while self.flying:
                    self.deliver(0)
                for waiting in list(self.waiting):
                    for name in waiting[2].names:
                        if name not in waiting[2].answers:
                            self.time_out(waiting, name)
            if self.problem:
                return self.problem
            self.now += 2.0
            for balancer in range(len(self.views)):
                self.send_open(balancer)
        alive = [a for a in self.agents.values() if a.alive]
        owners = [a.name for a in alive if self.flow in a.owned]
        if len(owners) == 1 or (self.crashed_owner and self.refused):
            return self.problem
        return f"owners at rest: {owners}"
