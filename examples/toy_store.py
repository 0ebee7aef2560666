#!/usr/bin/env python3
"""A toy box, hub cache and vault in one process: every PULL is answered with a few made-up bytes."""
import socketserver


def read_array(stream):
    head = stream.readline()
    if not head:
        return None
    words = []
    for _ in range(int(head[1:])):
        size = int(stream.readline()[1:])
        words.append(stream.read(size + 2)[:-2])
    return words


def write_array(stream, *words):
    stream.write(b"*%d\r\n" % len(words))
    for word in words:
        stream.write(b"$%d\r\n%s\r\n" % (len(word), word))
    stream.flush()


class Store(socketserver.StreamRequestHandler):
    def handle(self):
        while (words := read_array(self.rfile)) is not None:
            print(self.server.name, b" ".join(words).decode(errors="replace"), flush=True)
            if words[0] == b"PULL":
                body = b"bytes from " + self.server.name.encode() + b"\n"
                write_array(self.wfile, words[1], b"ok", b"tag=4be0c1927d55a6f3,minted=1764576000000,remark=local", body)


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


if __name__ == "__main__":
    import threading

    servers = []
    for name, port in (("box-1", 10081), ("hub-1", 10082), ("vault", 10083)):
        server = Server(("127.0.0.1", port), Store)
        server.name = name
        servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print("listening on 127.0.0.1, ports 10081 to 10083", flush=True)
    threading.Event().wait()
