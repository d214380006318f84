"""Links between one node and upstreams, which can be cut, and the view of the store that leads the node to them."""

import asyncio
import contextlib
import json
import socket
import struct
import threading

import standin

PIECE_SIZE = 65_536
# Connections that fill the queue of a listener, so that the system drops further ones.
BACKLOG_CONNECTIONS = 4
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def socket_address(address):
    """Returns the host and the port of an address in the host:port form."""
    host, _, port = address.partition(":")
    return host, int(port)


def reset(writer):
    """Resets a connection, unless it is closed already."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class LinkLoop:
    """The event loop that carries all links, on a thread of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, coroutine):
        """Runs a coroutine on the loop and returns its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def stop(self):
        self.loop.set_exception_handler(lambda *_: None)
        self.run(self.cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)

    @staticmethod
    async def cancel_tasks():
        """Ends all connections."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class EngineLink:
    """A TCP proxy in front of an upstream that one node uses.

    Ways to cut it: `hang` (nothing arrives, in both directions, and new connections get no answer), `reset` (open
    connections are reset and new ones refused), `refuse` (open connections live on, new ones are refused).
    """

    def __init__(self, links, target):
        self.links, self.target = links, target
        self.port, self.writers, self.blockers, self.reservation = 0, set(), [], None
        self.how, self.target_down, self.accepts = None, False, True
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.links.run(self.listen())

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        """Passes the bytes of one connection on."""
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, upstream_writer}
        await asyncio.gather(self.pass_on(reader, upstream_writer), self.pass_on(upstream_reader, writer))
        self.writers -= {writer, upstream_writer}

    async def pass_on(self, reader, writer):
        """Passes bytes on in one direction, as far as the link is not silent."""
        try:
            while piece := await reader.read(PIECE_SIZE):
                await self.flowing.wait()
                writer.write(piece)
                await writer.drain()
            await self.flowing.wait()
            writer.close()
        except OSError:
            reset(writer)

    def cut(self, how):
        self.links.run(self.apply(how, self.target_down))

    def heal(self):
        self.links.run(self.apply(None, self.target_down))

    def set_target_down(self, down):
        """Refuses new connections while the target does, instead of accepting and closing them."""
        self.links.run(self.apply(self.how, down))

    async def apply(self, how, target_down):
        """Applies how the link is cut, nothing if it is not, and whether its target refuses connections."""
        self.how, self.target_down = how, target_down
        if how == "reset":
            for writer in self.writers:
                reset(writer)
        accepts = not how and not target_down
        if not accepts:
            await self.refuse_connections()
        elif not self.accepts:
            await self.listen()
        self.accepts = accepts
        if how == "hang":
            self.flowing.clear()
            self.block_port()
        else:
            self.flowing.set()

    async def refuse_connections(self):
        """Refuses new connections, and keeps other processes from taking the port."""
        self.server.close()
        await asyncio.sleep(0)
        self.close_blockers()
        if not self.reservation:
            self.reservation = self.bind_port()

    def bind_port(self):
        """Returns a socket that is bound to the port."""
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(("127.0.0.1", self.port))
        return bound

    def close_blockers(self):
        for blocker in self.blockers:
            blocker.close()
        self.blockers = []

    def block_port(self):
        """Lets new connections hang."""
        self.blockers = [self.bind_port()]
        self.blockers[0].listen(0)
        for _ in range(BACKLOG_CONNECTIONS):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(("127.0.0.1", self.port))
            self.blockers.append(client)

    async def listen(self):
        """Accepts connections."""
        self.close_blockers()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if self.reservation:
            self.reservation.close()
            self.reservation = None


class StoreView(standin.Server):
    """The store as one node sees it: the entries of upstreams state the addresses of this node's links."""

    def __init__(self, store, links, addresses):
        self.store = store
        self.links = [EngineLink(links, socket_address(address)) for address in addresses]
        self.addresses = {address: link.address for address, link in zip(addresses, self.links)}
        super().__init__()

    def respond(self, handler, body):
        self.store.respond(handler, body)

    def present(self, body):
        """Returns a body with the addresses of the links."""
        text = json.dumps(body)
        for address, link_address in self.addresses.items():
            text = text.replace(f'"{address}"', f'"{link_address}"')
        return json.loads(text)

    def cut(self, how):
        """Cuts all links of the node."""
        for link in self.links:
            link.cut(how)

    def heal(self):
        for link in self.links:
            link.heal()
