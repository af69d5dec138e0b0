#!/usr/bin/env python3
"""Stands before the workers of curlewcart-platform, whose tasks report no more
than the share of their work that is done, and reports tasks that last as the
users' pages say: "Such a task is at work when its percent is 100", "after a
short startup".  Nothing else is changed.

usage: at_work.py STARTUP_MS JOBS < ADDRESSES

JOBS is a regular expression for the names of tasks that last.  Standard input
has a line "worker=ID HOST:PORT" for each worker; a line "ID PORT" is printed
for each, in this order.
"""
import json
import re
import socket
import sys
import threading
import time

STARTUP_S = int(sys.argv[1]) / 1000
LASTS = re.compile(sys.argv[2])
started = {}  # (worker, task, run) -> time of its start


def read_message(stream):
    """Returns the first line, the other header lines and the body."""
    first = stream.readline()
    if not first:
        return None
    headers, size = [], 0
    while True:
        line = stream.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name = line.split(b":")[0].strip().lower()
        if name == b"content-length":
            size = int(line.split(b":")[1])
        else:
            headers.append(line)
    return first, headers, stream.read(size)


def send_message(peer, message, body):
    first, headers, _ = message
    peer.sendall(first + b"".join(headers) +
                 b"Content-Length: %d\r\n\r\n" % len(body) + body)


def answer_body(worker, request, answer):
    path = request[0].split()[1]
    try:
        sent, given = json.loads(request[2] or b"{}"), json.loads(answer[2])
    except ValueError:
        return answer[2]
    if path == b"/run-start" and b" 200" in answer[0]:
        started.setdefault((worker, sent["task"], sent["run"]),
                           time.monotonic())
    if path != b"/hold" or "running" not in given:
        return answer[2]
    for row in given["running"]:
        if LASTS.match(row[0]):
            begun = started.get((worker, row[0], row[1]), time.monotonic())
            row[3] = 100 if time.monotonic() - begun >= STARTUP_S else 0
    return json.dumps(given, separators=(",", ":")).encode()


def serve(worker, address, client):
    host, port = address.rsplit(":", 1)
    try:
        server = socket.create_connection((host, int(port)))
        for peer in (client, server):
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        requests, answers = client.makefile("rb"), server.makefile("rb")
        while True:
            request = read_message(requests)
            if request is None:
                break
            send_message(server, request, request[2])
            answer = read_message(answers)
            if answer is None:
                break
            send_message(client, answer, answer_body(worker, request, answer))
    except OSError:
        pass
    client.close()


def listen(worker, address):
    listener = socket.create_server(("127.0.0.1", 0))
    print(worker, listener.getsockname()[1], flush=True)

    def accept():
        while True:
            client = listener.accept()[0]
            threading.Thread(target=serve, args=(worker, address, client),
                             daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


for line in sys.stdin:
    name, place = line.split("=", 1)[1].split()
    listen(name, place)
print("ready", flush=True)
threading.Event().wait()
