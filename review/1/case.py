#!/usr/bin/env python3
"""Bad clients send heads that never end (empty lines only) at full speed; usual clients must still be answered."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import *  # noqa: E402,F403

BAD_CLIENTS = 8
# The most that the pages let a bad client send.
BAD_BYTES = 60_000_000
BUDGET = 2.0  # the deadline of an article
LATE = 0.5 + 0.05  # "up to half a second after its time it only earns nothing", and 50 ms of slack on sockets
OWED = 6.0  # a bad client is owed a close or an error within 3 s (6 s with 60 MB to send)


def bad_client(record, front, number, results):
    block = b"\r\n" * 32768
    sent, ended = 0, "neither closed nor answered"
    sock = connect(front.listen)
    began = record.now()
    record.line(f"bad client {number} connects and sends empty lines")
    sock.settimeout(0.2)
    while record.now() < began + OWED + 2:
        try:
            if sent < BAD_BYTES:
                sent += sock.send(block[:min(len(block), BAD_BYTES - sent)])
                sock.setblocking(False)
                try:
                    if sock.recv(4096) is not None:
                        ended = "closed or answered"
                        break
                except BlockingIOError:
                    pass
                sock.settimeout(0.2)
            else:
                sock.settimeout(0.2)
                sock.recv(4096)
                ended = "closed or answered"
                break
        except TimeoutError:
            continue
        except OSError:
            ended = "closed"
            break
    record.line(f"bad client {number}: {ended} after {record.now() - began:.2f} s and {sent} bytes")
    results.append((number, ended, record.now() - began))
    sock.close()


def good_client(record, front, number, results):
    """Asks five times a second, each on a connection of its own."""
    for n in range(40):
        name = f"g{number}-{n}"
        spawn(one_request, record, front, name, results)
        time.sleep(0.2)


def one_request(record, front, name, results):
    at = record.now()
    try:
        answer = call(front.listen, "GET", "/article", name, BUDGET, wait=25)
        took = record.now() - at
        record.line(f"client {name}: sent at {at:.3f}, answered {answer[0]} after {took:.3f} s")
        results.append((name, at, took))
    except OSError as why:
        record.line(f"client {name}: sent at {at:.3f}, no answer: {why!r}")
        results.append((name, at, None))


def run(record, trouble):
    machines = [Machine(record, f"m{n}") for n in range(6)]
    hosts = HostList(machines)
    discovery, platform = Discovery(record, hosts), Platform(record)
    front = Front(record, discovery, platform, hosts, front_settings=settings(fronts=1, peers=False))
    answers, bad = [], []
    try:
        front.wait_ready()
        time.sleep(1)
        clients = [spawn(good_client, record, front, n, answers) for n in range(3)]
        time.sleep(2)
        if trouble:
            for number in range(BAD_CLIENTS):
                spawn(bad_client, record, front, number, bad)
        for client in clients:
            client.join()
        time.sleep(4)
        until = time.monotonic() + 25
        while len(answers) < 120 and time.monotonic() < until:
            time.sleep(0.1)
        if front.process.poll() is not None:
            return ["the front crashed"]
    finally:
        front.end()
    if len(answers) < 120:
        raise CannotRun("a client did not end")
    lost = [a for a in answers if a[2] is None or a[2] > BUDGET + LATE]
    longest = max((a[2] for a in answers if a[2] is not None), default=0)
    record.line(f"usual clients: {len(answers)} requests, {len(lost)} lost, longest answer {longest:.2f} s")
    breaks = [f"{len(lost)} of {len(answers)} requests of usual clients were answered more than "
              f"{BUDGET + LATE} s after they were sent, or never; longest {longest:.2f} s"] if lost else []
    return breaks


main("1", run)
