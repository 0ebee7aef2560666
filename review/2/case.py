"""Discovery is down for 8 s, into a release of a large fleet: does the gateway hear of the drains afterwards?"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

OFFICES, BOXES = 40, 78     # 3,120 boxes; the page allows 3,200 stores
REPLACED, WITHIN = 0.6, 7   # "six in ten stores are replaced within 7 s"
OUTAGE = 8                  # "discovery is down for 8 s, into the start of a release"
TOLD, OBEY = 7, 1 + 0.05    # told 7 s later at the latest; nothing new after 1 s; 50 ms for sockets


def far_box(name, office, number, generation, since=0, status="up"):
    return {"name": name, "address": "127.%d.%d.%d:10080" % (office + 1, number, generation),
            "zone": "edge-%d" % (office + 1), "type": "small", "group": 0, "status": status, "weight": 1,
            "since_ms": since}


async def case(folder, record):
    boxes = [Store("s-%08x" % i, record) for i in range(8)]
    hub, vault, bus = Store("s-000000f0", record), Store("s-000000f1", record), Bus(record)
    for one in (*boxes, hub, vault, bus):
        await one.start()
    zones = ["north", "south"] + ["edge-%d" % (i + 1) for i in range(OFFICES)]
    # The gateway's own office has 8 boxes, which run; the others share the rest, and get nothing from this gateway.
    others = [(office, number) for office in range(1, OFFICES) for number in range(BOXES + 2)][:OFFICES * BOXES - 8]
    far = [far_box("s-%04x%04x" % (office, number), office, number, 1) for office, number in others]
    everybody = [endpoint(one, "edge-1", "small") for one in boxes] + far + [
        endpoint(hub, "north", "parent"), endpoint(vault, "north", "origin")]
    bus.tell({"topology": {"index": 1, "snapshot": True, "endpoints": everybody}})
    record("stores:", len(everybody))
    port = free_port()
    gateway = Gateway(folder, "n1", port, {
        "name": "n1", "listen": "127.0.0.1:%d" % port, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bus": "127.0.0.1:%d" % bus.port,
        "known": bus.known(), "settings": settings(
            zones=zones, balancers=OFFICES, extra__hubOf=[0, 1] + [i % 2 for i in range(OFFICES)],
            extra__instancesByZone=[0, 0] + [1] * OFFICES, extra__inletKbPerS=[0, 0] + [45588.0] * OFFICES)})
    await gateway.start()
    try:
        if not await gateway.ready(60):
            raise RuntimeError("the gateway did not start")
        done, words = False, {}

        async def client():
            while not done:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                tag = 0
                while not done:
                    tag += 1
                    writer.write(resp("CALL", str(tag), "page", call_fields(1500, "%016x" % (tag % 40 + 1)), b""))
                    answer = await read_resp(reader)
                    if answer is None:
                        break
                    record("answer", answer[1].decode())
                    words[answer[1]] = words.get(answer[1], 0) + 1
                    await asyncio.sleep(0.05)
                writer.close()

        clients = [asyncio.ensure_future(client()) for _ in range(2)]
        await asyncio.sleep(2)
        if TROUBLE:
            record("discovery goes down")
            bus.server.close()
            for writer in list(bus.writers):
                writer.transport.abort()
        begun, index = time.monotonic(), 1

        def tell(box):
            nonlocal index
            index += 1
            bus.tell({"topology": {"index": index, "snapshot": False, "endpoints": [box]}})

        draining = boxes[:4]  # they stay up to the end
        for one in draining:
            tell(endpoint(one, "edge-1", "small", status="draining"))
        gone = far[:int(REPLACED * len(far))]
        for second in range(WITHIN):
            step = gone[second * len(gone) // WITHIN:(second + 1) * len(gone) // WITHIN]
            for box in step:
                tell({**box, "status": "draining"})
            for box in step:
                tell({**box, "status": "removed"})
                tell(far_box("t" + box["name"][1:], int(box["name"][2:6], 16), int(box["name"][6:], 16), 2,
                             int(time.time() * 1000)))
            await asyncio.sleep(max(0, begun + second + 1 - time.monotonic()))
        await asyncio.sleep(max(0, begun + OUTAGE - time.monotonic()))
        if TROUBLE:
            await bus.start()
            record("discovery is back, with", len(bus.events) - 1, "events of",
                   len(json.dumps(bus.events[1:])), "bytes since the start")
        told = time.monotonic() + TOLD
        await asyncio.sleep(TOLD + OBEY + 5)
        done = True
        late = {one.name: sum(1 for pull in one.pulls if pull[0] > told + OBEY) for one in boxes}
        late_drained = sum(late[one.name] for one in draining)
        record("requests after all was told and had to be obeyed, by box:", late, "draining:",
               [one.name for one in draining], "answers:", words)
        print("requests to draining boxes, %.2f s after they were told at the latest: %d" % (OBEY, late_drained))
        await asyncio.wait(clients, timeout=3)
        return late_drained == 0 and gateway.process.returncode is None
    finally:
        await gateway.end()


run_case(__file__, case)
