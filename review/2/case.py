"""A hub cache has just started, by a clock that is an hour behind: does the gateway spare it?"""
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

STEP = 3600 if TROUBLE else 0  # seconds by which the clock that dates the list is behind
RATE = 170                     # requests a second; "each of three gateways receives up to 170"
WORK = 0.05                    # seconds of sending of a page on average, "27 to 72 ms"
LINK = 5                       # transfers at a time: 100 fills a second, 1.18 times the 85 that are asked of a hub
FLOOR, RAMP, BREAKS_AT, WINDOW = 0.064, 21, 2, 3  # of the settings, for a hub cache that has just started
FLOW = 296000                  # bytes a second of one transfer
SECONDS = 9


def share(age):
    """What a hub can give of its link: the least that the settings allow."""
    return min(1, FLOOR + (1 - FLOOR) * max(0, age) / RAMP)


def allowed(age):
    """Requests of mean work in the window that begins at this age, with the slack for chance."""
    steps = 300
    n = BREAKS_AT * LINK / WORK * sum(share(age + WINDOW * (k + 0.5) / steps) for k in range(steps)) * WINDOW / steps
    return n + (2 * n ** 0.5 + 2 if n >= 30 else 3 * n ** 0.5 + 3)


class Hub:
    """A hub cache that holds nothing yet; its link is divided among its transfers."""

    def __init__(self, name, record, started):
        self.name, self.record, self.started = name, record, started
        self.socket, self.port = bound_socket()  # nobody answers there: only boxes ask a hub cache
        self.transfers, self.fills = {}, []

    async def run(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.004)
            now = time.monotonic()
            # A fill runs up to three times as fast as a transfer to a client.
            each = min(3.0, LINK * share(now - self.started) / max(1, len(self.transfers))) * (now - last)
            last = now
            for done in list(self.transfers):
                self.transfers[done] -= each
                if self.transfers[done] <= 0:
                    del self.transfers[done]
                    done.set()

    async def fill(self, who):
        self.fills.append(time.monotonic())
        self.record(self.name, "fill for", who)
        done = asyncio.Event()
        self.transfers[done] = WORK
        try:
            await done.wait()
        finally:
            self.transfers.pop(done, None)


class Box(Store):
    """A seat box: fills from the hub cache or the vault that it is told, and drops a fill that is given up."""
    sources = {}

    async def serve(self, reader, writer):
        open_pulls = {}
        try:
            while (words := await read_resp(reader)) is not None:
                if words[0] == b"PULL":
                    open_pulls[words[1]] = asyncio.ensure_future(self.pull(words, writer))
                elif words[0] == b"KILL" and words[1] in open_pulls:
                    open_pulls.pop(words[1]).cancel()
                elif words[0] in (b"ECHO", b"METER"):
                    writer.write(resp(words[1], "yes", "-", b""))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            for one in open_pulls.values():
                one.cancel()
            writer.close()

    async def pull(self, words, writer):
        fields = fields_of(words[2])
        self.record(self.name, "run", words[1].decode(), words[2].decode())
        source = fields.get("via", self.name)
        if source == self.name or "peek" in fields.get("opts", "").split("+"):
            return writer.write(resp(words[1], "nothing", "remark=not_there", b""))
        begun = time.monotonic()
        try:
            await asyncio.wait_for(self.sources[source].fill(words[1].decode()), min(3.0, int(fields["max"]) / 1000))
        except asyncio.TimeoutError:
            return writer.write(resp(words[1], "error", "remark=cut_off", b""))
        lag = time.monotonic() - begun
        await asyncio.sleep(max(0, WORK - lag))  # the transfer to the gateway, which began with the fill
        writer.write(resp(words[1], "ok", "tag=4be0c1927d55a6f3,minted=%d,remark=pulled,lag=%d" %
                          (int(time.time() * 1000), int(lag * 1000)), b"x" * int(WORK * FLOW)))


async def case(folder, record):
    boxes = [Box("s-%08x" % i, record) for i in range(8)]
    vault, bus = Box("s-000000f1", record), Bus(record)
    for one in (*boxes, vault, bus):
        await one.start()
    now = time.monotonic()
    warm, cold = Hub("s-000000e1", record, now - 1000), Hub("s-000000e2", record, now)
    Box.sources = {one.name: one for one in (warm, cold)}
    Box.sources[vault.name] = Hub(vault.name, record, now - 1000)
    running = [asyncio.ensure_future(one.run()) for one in Box.sources.values()]
    record("hub cache", cold.name, "has just started; the clock that dates the list is", STEP, "s behind")
    bus.tell({"topology": {"index": 1, "snapshot": True, "endpoints": [
        endpoint(one, "edge-1", "small") for one in boxes] + [
        endpoint(warm, "north", "parent"),
        endpoint(cold, "north", "parent", since=int((time.time() - STEP) * 1000)),
        endpoint(vault, "north", "origin")]}})
    port = free_port()
    gateway = Gateway(folder, "n1", port, {
        "name": "n1", "listen": "%s:%d" % (HOST, port), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bus": "%s:%d" % (HOST, bus.port),
        "flow_bytes_per_s": FLOW, "link_bytes_per_s": 4 * FLOW, "known": bus.known(), "settings": settings()})
    await gateway.start()
    try:
        if not await gateway.ready():
            raise RuntimeError("the gateway did not start")
        words, rng, readers, writer = {}, random.Random(40), [], None

        async def answers(reader):
            try:
                while (answer := await read_resp(reader)) is not None:
                    record("answer", answer[0].decode(), answer[1].decode())
                    words[answer[1]] = words.get(answer[1], 0) + 1
            except (ConnectionError, asyncio.IncompleteReadError):
                pass

        due, tag, begun = time.monotonic(), 0, time.monotonic()
        while time.monotonic() < begun + SECONDS:
            due += rng.expovariate(RATE)
            await asyncio.sleep(max(0, due - time.monotonic()))
            if tag % 25 == 0:  # at most 25 on a connection
                reader, writer = await asyncio.open_connection(HOST, port)
                readers.append(asyncio.ensure_future(answers(reader)))
            tag += 1
            record("call", tag, "page")
            # A new release: what is asked for is in no box yet.
            writer.write(resp("CALL", str(tag), "page", call_fields(2500, secrets.token_hex(8)), b""))
        worst = (0, 0, 0, 0)
        for i, at in enumerate(cold.fills):
            count, limit = sum(1 for other in cold.fills[i:] if other < at + WINDOW), allowed(at - cold.started)
            worst = max(worst, (count / limit, count, limit, at - cold.started))
        record("fills asked of the warm hub: %d, of the cold one: %d; answers: %s" %
               (len(warm.fills), len(cold.fills), words))
        line = "worst window of %d s at the cold hub: %d fills, %.1f allowed, from %.2f s after its start" % (
            WINDOW, worst[1], worst[2], worst[3])
        record(line)
        print(line)
        for one in (*running, *readers):
            one.cancel()
        return worst[1] <= worst[2] and gateway.process.returncode is None
    finally:
        await gateway.end()


run_case(__file__, case)
