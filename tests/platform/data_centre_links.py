"""Forwards TCP connections between data centres of a test site, by links that can be cut.

Usage: data_centre_links.py JSON, an object with `readers` (loopback address: data centre),
`servers` ([port, data centre] of a server at 127.0.0.1) and `delay_s`, the time of one way.
Each reader's address has the ports of all servers of other data centres. ConnectVia.cpp has VMs
connect there. Prints "ready", then reads commands, one a line, and answers each with "ok":

cut DC hang|refuse  What is open to or from DC stays open and silent. New connects hang, their
                    SYNs being dropped, or are refused.
join DC resume|dead What was open goes on, or stays silent for good.
"""

import asyncio
import json
import socket
import sys


class End(asyncio.Protocol):
    """One of the two ends of a connection."""

    def __init__(self, delay_s):
        self.delay_s, self.peer, self.transport = delay_s, None, None
        self.is_cut, self.held = False, []  # Held: data that the cut found under way.

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        asyncio.get_running_loop().call_later(self.delay_s, self.deliver, data)

    def deliver(self, data):
        if self.is_cut:
            self.held.append(data)
        elif data:
            self.peer.transport.write(data)
        elif self.peer.transport:
            self.peer.transport.close()

    def connection_lost(self, _error):
        self.data_received(b"")  # The peer is closed after what was sent before.

    def cut(self):
        self.is_cut = True
        if self.transport and not self.transport.is_closing():
            self.transport.pause_reading()

    def join(self):
        self.is_cut = False
        held, self.held = self.held, []
        for data in held:
            self.deliver(data)
        if self.transport and not self.transport.is_closing():
            self.transport.resume_reading()


class Link:
    """A reader's way to a server."""

    def __init__(self, loop, address, port, ends, delay_s):
        self.loop, self.address, self.port, self.ends = loop, address, port, ends
        self.delay_s = delay_s
        self.is_cut, self.connections, self.fillers = False, [], []
        self.dead = []  # Connections that stay open and silent for good.
        self.listen()

    def listen(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind((self.address, self.port))
        self.socket.listen(128)
        self.loop.add_reader(self.socket, self.accept)

    def accept(self):
        while True:
            try:
                accepted, _ = self.socket.accept()
            except OSError:
                return
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.loop.create_task(self.forward(accepted))

    async def forward(self, accepted):
        down, up = End(self.delay_s), End(self.delay_s)
        down.peer, up.peer = up, down
        try:
            await self.loop.create_connection(lambda: up, "127.0.0.1", self.port)
        except OSError:
            accepted.close()
            return
        await self.loop.connect_accepted_socket(lambda: down, accepted)
        self.connections = [each for each in self.connections
                            if not each[0].transport.is_closing()] + [(down, up)]
        if self.is_cut:
            down.cut()
            up.cut()

    def cut(self, refuses):
        self.accept()
        self.is_cut = True
        for pair in self.connections:
            for end in pair:
                end.cut()
        self.loop.remove_reader(self.socket)
        if refuses:
            self.socket.close()
            return
        # The kernel drops SYNs while the queue of a listening socket is full.
        self.socket.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.address, self.port))
            self.fillers.append(filler)

    def join(self, resumes):
        self.is_cut = False
        if resumes:
            for pair in self.connections:
                for end in pair:
                    end.join()
        else:
            self.dead += self.connections
            self.connections = []
        if self.socket.fileno() < 0:
            self.listen()
            return
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.socket.listen(128)
        self.loop.add_reader(self.socket, self.accept)


async def serve(plan):
    loop = asyncio.get_running_loop()
    links = [Link(loop, address, port, (reader, server), plan["delay_s"])
             for address, reader in plan["readers"].items()
             for port, server in plan["servers"] if server != reader]
    print("ready", flush=True)
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while line := (await commands.readline()).decode():
        what, data_centre, variant = line.split()
        for link in links:
            if int(data_centre) not in link.ends:
                continue
            if what == "cut":
                link.cut(variant == "refuse")
            else:
                link.join(variant == "resume")
        print("ok", flush=True)


if __name__ == "__main__":
    asyncio.run(serve(json.loads(sys.argv[1])))
