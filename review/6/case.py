"""A file is replaced during its download, and the client gets one whole answer with bytes of both versions."""
import http.client
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stage2 import *

FILE, SIZE = "/files/tool.bin", 2_000_000
VERSIONS = {1: (b"1" * SIZE, "Tue, 01 Dec 2026 10:00:00 GMT"), 2: (b"2" * SIZE, "Fri, 04 Dec 2026 09:00:00 GMT")}


def case(stage):
    bus = Bus(stage)
    version, parts = [1], [0]

    def answer(path, fields):
        """A server that names versions by their date, and by no tag."""
        if path != FILE:
            return 404, {}, b""
        parts[0] += 1
        if parts[0] == 4 and TROUBLE:
            version[0] = 2
            stage.say("operator", "version 2 takes the place of version 1")
            bus.tell({"ban": {"url": FILE, "ts": int(time.time() * 1000)}})
        body, modified = VERSIONS[version[0]]
        return 200, {"Last-Modified": modified}, body

    port = repository_server(stage, "server", answer).server_address[1]
    listen = start_repository(stage, [listed("box-1", port), listed("hub-1", port, "hub-cache"),
                                      listed("vault", port, "origin")], bus.address)
    for attempt in range(3):
        connection = http.client.HTTPConnection(HOST, listen, timeout=10)
        connection.request("GET", FILE)
        response = connection.getresponse()
        try:
            body = response.read()
        except http.client.IncompleteRead as cut:
            stage.say("client", "%d, incomplete: %d bytes" % (response.status, len(cut.partial)))
            continue
        ones, twos = body.count(b"1"), body.count(b"2")
        stage.say("client", "%d, Content-Length %s, Last-Modified %s: %d bytes of version 1, %d of version 2" % (
            response.status, response.getheader("Content-Length"), response.getheader("Last-Modified"), ones, twos))
        if response.status == 200 and body not in (VERSIONS[1][0], VERSIONS[2][0]):
            stage.breaks("a whole answer that no server has: %d bytes of version 1, then %d of version 2" % (ones, twos))
        connection.close()
        if attempt == 0:
            time.sleep(1)


play(__file__, case)
