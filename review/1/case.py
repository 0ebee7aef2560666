"""Discovery is slow, each answer comes 1 s late: does the gateway hear of drains in time?"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

SLOW = float(os.environ.get("SLOW", 1.0))  # seconds by which discovery answers late; 7 s are allowed
TOLD, OBEY = 7, 1 + 0.05                   # told 7 s later at the latest; nothing new after 1 s; 50 ms for sockets
OBSERVED = 20


class SlowBus(Bus):
    """Answers every read as the page says, but `slow` seconds later than a quick one would."""
    slow = 0

    async def send(self, writer, answer):
        await asyncio.sleep(self.slow)
        lost = writer.transport.is_closing()
        self.record("bus answers", len(answer), "bytes", "(nobody reads any more)" if lost else "")
        writer.write(answer)


async def case(folder, record):
    boxes = [Store("s-%08x" % i, record) for i in range(8)]
    hub, vault, bus = Store("s-000000f0", record), Store("s-000000f1", record), SlowBus(record)
    for one in (*boxes, hub, vault, bus):
        await one.start()
    bus.tell({"topology": {"index": 1, "snapshot": True, "endpoints": [
        endpoint(one, "edge-1", "small") for one in boxes] + [
        endpoint(hub, "north", "parent"), endpoint(vault, "north", "origin")]}})
    port = free_port()
    gateway = Gateway(folder, "n1", port, {
        "name": "n1", "listen": "%s:%d" % (HOST, port), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bus": "%s:%d" % (HOST, bus.port),
        "known": bus.known(), "settings": settings()})
    await gateway.start()
    try:
        if not await gateway.ready():
            raise RuntimeError("the gateway did not start")
        done, words = False, {}

        async def client():
            while not done:
                reader, writer = await asyncio.open_connection(HOST, port)
                tag = 0
                while not done:
                    tag += 1
                    record("call", tag, "page")
                    writer.write(resp("CALL", str(tag), "page", call_fields(1500, "%016x" % (tag % 40 + 1)), b""))
                    answer = await read_resp(reader)
                    if answer is None:
                        break
                    record("answer", answer[0].decode(), answer[1].decode())
                    words[answer[1]] = words.get(answer[1], 0) + 1
                    await asyncio.sleep(0.05)
                writer.close()

        clients = [asyncio.ensure_future(client()) for _ in range(2)]
        await asyncio.sleep(3)
        if TROUBLE:
            bus.slow = SLOW
            record("discovery is slow from here on: each answer comes %.1f s late" % SLOW)
        await asyncio.sleep(2)
        draining = boxes[:2]  # a quarter; they stay up to the end
        for index, one in enumerate(draining):
            bus.tell({"topology": {"index": 2 + index, "snapshot": False,
                                   "endpoints": [endpoint(one, "edge-1", "small", status="draining")]}})
        begun = time.monotonic()
        await asyncio.sleep(OBSERVED)
        done = True
        late = [at - begun for one in draining for at, _, _ in one.pulls if at - begun > TOLD + OBEY]
        last = max(at - begun for one in draining for at, _, _ in one.pulls)
        record("last request to a draining box %.2f s after the event, %d after %.2f s; answers: %s" %
               (last, len(late), TOLD + OBEY, words))
        print("last request to a draining box %.2f s after the event; later than %.2f s: %d" %
              (last, TOLD + OBEY, len(late)))
        await asyncio.wait(clients, timeout=3)
        return not late and gateway.process.returncode is None
    finally:
        await gateway.end()


run_case(__file__, case)
