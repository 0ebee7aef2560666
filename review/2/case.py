"""One step of a rolling deploy in a fleet of 3,000 stores: do the requests of an office get their answers?"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

OFFICES, BOXES = 40, 75  # 3,000 boxes; the page allows 3,200 stores
STEP = 0.2               # share of the boxes that one step of a deploy replaces, 0.05 to 0.2
DRAIN = 2                # "drain time, s 2 to 6"
PATIENCE = 1.5           # a page request is given up after 3 s, a try after 50 to 100% of that
GRACE = 0.5 + 0.05       # an answer is lost if it comes later than half a second after its time


def far_box(name, office, number, generation, since=0):
    return {"name": name, "address": "127.%d.%d.%d:10080" % (office + 1, number, generation),
            "zone": "edge-%d" % (office + 1), "type": "small", "group": 0, "status": "up", "weight": 1,
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
        "name": "n1", "listen": "%s:%d" % (HOST, port), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bus": "%s:%d" % (HOST, bus.port),
        "known": bus.known(), "settings": settings(
            zones=zones, balancers=OFFICES, extra__hubOf=[0, 1] + [i % 2 for i in range(OFFICES)],
            extra__instancesByZone=[0, 0] + [1] * OFFICES, extra__inletKbPerS=[0, 0] + [45588.0] * OFFICES)})
    begun = time.monotonic()
    await gateway.start()
    try:
        if not await gateway.ready(70):
            raise RuntimeError("the gateway did not start")
        record("ready after %.1f s" % (time.monotonic() - begun))
        lost, answered = [], []

        async def office(until):
            """Asks for pages, 10 a second on one connection; connects again if the gateway ends it."""
            tag = 0
            while time.monotonic() < until:
                reader, writer = await asyncio.open_connection(HOST, port)
                open_calls, ended = {}, asyncio.Event()

                async def answers():
                    try:
                        while (words := await read_resp(reader)) is not None:
                            if words[0] not in open_calls:
                                continue
                            took = time.monotonic() - open_calls.pop(words[0])
                            record("answer", words[0].decode(), words[1].decode(), "after %.3f s" % took)
                            (answered if took <= PATIENCE + GRACE else lost).append(words[0])
                    except (ConnectionError, asyncio.IncompleteReadError):
                        pass
                    ended.set()

                reading = asyncio.ensure_future(answers())
                while not ended.is_set() and time.monotonic() < until:
                    tag += 1
                    name = str(tag).encode()
                    open_calls[name] = time.monotonic()
                    record("call", tag, "page")
                    writer.write(resp("CALL", name, "page",
                                      call_fields(int(PATIENCE * 1000), "%016x" % (tag % 40 + 1)), b""))
                    await asyncio.sleep(0.1)
                    for one, sent in list(open_calls.items()):
                        if time.monotonic() - sent > PATIENCE + GRACE:
                            del open_calls[one]
                            lost.append(one)
                            record("no answer in time:", one.decode())
                            writer.write(resp("CANCEL", one))
                if not ended.is_set():
                    await asyncio.sleep(PATIENCE + GRACE)
                for one in open_calls:
                    record("open at the end of the connection:", one.decode())
                reading.cancel()
                writer.close()

        asking = asyncio.ensure_future(office(time.monotonic() + 20))
        await asyncio.sleep(2)
        if TROUBLE:
            gone = far[:int(STEP * len(far))]
            record("a step of the deploy begins:", len(gone), "boxes of other offices drain")
            bus.tell({"topology": {"index": 2, "snapshot": False, "endpoints": [
                {**one, "status": "draining"} for one in gone]}})
            await asyncio.sleep(DRAIN)
            now = int(time.time() * 1000)
            changed = [{**one, "status": "removed"} for one in gone] + [
                far_box("t" + one["name"][1:], int(one["name"][2:6], 16), int(one["name"][6:], 16), 2, now)
                for one in gone]
            record("the boxes are replaced")
            bus.tell({"topology": {"index": 3, "snapshot": False, "endpoints": changed}})
        await asking
        alive = gateway.process.returncode is None
        record("answered:", len(answered), "lost:", len(lost), "gateway runs:", alive)
        print("answered", len(answered), "lost", len(lost))
        return alive and not lost
    finally:
        await gateway.end()


run_case(__file__, case)
