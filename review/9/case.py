"""An instance was moved to another agent; the first agent is killed, started again, and runs it once more."""
import concurrent.futures
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stage2 import *

PURGES = 4200  # a little more than the commands between two snapshots (4096, the default)


def case(stage):
    agents = Agents(stage)

    def good(fields):
        return "ok", "tag=4be0c1927d55a6f3,minted=%d,remark=local" % (time.time() * 1000), b"bytes"

    port = store(stage, "stores", good).server_address[1]
    stores = [listed("box-1", port), listed("hub-1", port, "hub-cache"), listed("vault", port, "origin")]
    first = (agents.leader() + 1) % 3  # an agent that does not lead
    second = (first + 1) % 3
    before, after = free_ports(2)  # gate-1's address on the first machine, and on the second

    def put(agent, listen):
        agents.ask("PUT", "/instances/gate-1", json.dumps({"agent": agent + 1, "configuration": configuration(
            listen, stores, operator="%s:%d" % (HOST, adjoining_ports()))}))

    def served(listen):
        try:
            client = Client(listen)
            answer = client.call("page")
            client.close()
        except OSError:
            return False
        if answer is None:
            return False
        stage.say("client", "at port %d: %s" % (listen, b" ".join(answer).decode()))
        return answer[1] == b"SERVED"

    put(first, before)
    await_true(lambda: passes(before), 10, "gate-1 at the first agent")
    begun = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(8) as operators:
        list(operators.map(lambda number: agents.put("purges/object/%016x" % (number % 64), {
            "ts": int(time.time() * 1000) + number}, quiet=True), range(PURGES)))
    stage.say("operator", "%d purges in %.1f s" % (PURGES, time.monotonic() - begun))
    put(second, after)
    await_true(lambda: passes(after), 10, "gate-1 at the second agent")
    await_true(lambda: not accepts(before), 10, "the end of gate-1 at the first agent")
    shown = agents.status(first)["instances"]["gate-1"]
    stage.say("status", "agent %d: gate-1 is %s" % (first + 1, json.dumps(shown)))
    if shown["agent"] != second + 1 or "pid" in shown:
        raise CannotRun("the first agent does not know of the move")
    time.sleep(1)
    if TROUBLE:
        agents.kill(first)
        agents.start(first)
    until = time.monotonic() + 10
    while time.monotonic() < until:
        if served(before) and served(after):
            stage.breaks("both processes serve as gate-1: the one that was moved away, at port %d, and the one at "
                         "agent %d, at port %d" % (before, second + 1, after))
        time.sleep(0.1)


play(__file__, case)
