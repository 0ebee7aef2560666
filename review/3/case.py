"""Bad clients that send hundreds of requests at once: does the gateway stay within its memory?"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

MEMORY_MB, SOCKETS = 32, 1024  # "32 to 192 MB", "256 to 1,024 descriptors"
BAD_CLIENTS = 200              # with the usual ones well under a third of the descriptors (341)
AT_ONCE, BODY = 300, 1000      # "hundreds of requests at once"; a body may have 48,000 bytes


def memory_mb(pid, line):
    with open("/proc/%d/status" % pid) as file:
        return int(re.search(line + r":\s+(\d+) kB", file.read())[1]) / 1024


async def case(folder, record):
    boxes = [Store("s-%08x" % i, record) for i in range(8)]
    hub, vault, bus = Store("s-000000f0", record), Store("s-000000f1", record), Bus(record)
    for one in (*boxes, hub, vault, bus):
        await one.start()
    bus.tell({"topology": {"index": 1, "snapshot": True, "endpoints": [
        endpoint(one, "edge-1", "small") for one in boxes] + [
        endpoint(hub, "north", "parent"), endpoint(vault, "north", "origin")]}})
    port = free_port()
    gateway = Gateway(folder, "n1", port, {
        "name": "n1", "listen": "%s:%d" % (HOST, port), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "bus": "%s:%d" % (HOST, bus.port),
        "known": bus.known(), "settings": settings()})
    await gateway.start()
    try:
        if not await gateway.ready():
            raise RuntimeError("the gateway did not start")
        pid, words, lost, killed, done = gateway.process.pid, {}, [], [], False

        async def platform():
            """Over its limit the gateway is killed."""
            while not killed and not done:
                try:
                    now = memory_mb(pid, "VmRSS")
                except (OSError, TypeError):
                    return
                if now > MEMORY_MB:
                    killed.append(now)
                    record("the platform kills the gateway: %.1f MB, allowed %d" % (now, MEMORY_MB))
                    gateway.signal(signal.SIGKILL)
                await asyncio.sleep(0.005)

        async def usual(number):
            reader, writer = await asyncio.open_connection(HOST, port)
            tag = 0
            while not done:
                tag += 1
                record("usual client", number, "call", tag, "page")
                try:
                    writer.write(resp("CALL", str(tag), "page", call_fields(1500, "%016x" % (tag % 40 + 1)), b""))
                    answer = await asyncio.wait_for(read_resp(reader), 3)
                except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    answer = None
                if answer is None:
                    lost.append((number, tag))
                    return record("usual client", number, "call", tag, "was not answered")
                record("usual client", number, "answer", tag, answer[1].decode())
                words[answer[1]] = words.get(answer[1], 0) + 1
                await asyncio.sleep(0.1)

        async def bad(number):
            reader, writer = await asyncio.open_connection(HOST, port)
            record("bad client", number, "sends", AT_ONCE, "calls at once")
            writer.write(b"".join(resp("CALL", str(i + 1), "page", call_fields(1500, "%016x" % (i % 40 + 1)),
                                       b"x" * BODY) for i in range(AT_ONCE)))
            got = {}
            try:  # it reads what it is sent
                while (answer := await asyncio.wait_for(read_resp(reader), 5)) is not None:
                    got[answer[1].decode()] = got.get(answer[1].decode(), 0) + 1
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            record("bad client", number, "got", got)
            writer.close()

        watching = asyncio.ensure_future(platform())
        usual_clients = [asyncio.ensure_future(usual(i)) for i in range(10)]
        await asyncio.sleep(3)
        record("memory with the usual clients: %.1f MB" % memory_mb(pid, "VmHWM"))
        if TROUBLE:
            record(BAD_CLIENTS, "bad clients, each with", AT_ONCE, "requests at once")
            await asyncio.wait([asyncio.ensure_future(bad(i)) for i in range(BAD_CLIENTS)], timeout=30)
        await asyncio.sleep(3)
        peak = killed[0] if killed else memory_mb(pid, "VmHWM")
        done = True
        await asyncio.wait(usual_clients, timeout=4)
        record("usual clients got", words, "not answered:", len(lost), "peak memory %.1f MB" % peak)
        print("peak memory %.1f MB of %d, usual requests not answered: %d" % (peak, MEMORY_MB, len(lost)))
        watching.cancel()
        return peak <= MEMORY_MB
    finally:
        await gateway.end()


run_case(__file__, case)
