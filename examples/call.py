#!/usr/bin/env python3
"""Sends one CALL to the gateway of the example and prints the answer."""
import secrets
import socket
import sys

from toy_store import read_array, write_array

kind = sys.argv[1] if len(sys.argv) > 1 else "page"
fields = f"trace={secrets.token_hex(8)},patience=1500,entity=7f3a9c21e0b4d655,block=0,family=17"
if kind == "checkout":
    fields += f",nonce={secrets.token_hex(16)}"
with socket.create_connection(("127.0.0.1", 10080)) as connection:
    stream = connection.makefile("rwb")
    write_array(stream, b"CALL", b"1", kind.encode(), fields.encode(), b"")
    print(b" ".join(read_array(stream)).decode())
