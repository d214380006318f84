"""Stand-in of a model engine: orders, reports and streams, as the pages describe them."""

import asyncio
import json
import time

import kit

ADAPTER_LOAD_S = 0.25
EVENTS = 6


class ModelEngine(kit.PlainService):
    """Holds the model `m` and some adapters; streams EVENTS events for a request, one each `gap_s`."""

    def __init__(self, record, store, name, service, zone, slots=7, gap_s=0.02):
        super().__init__(record, store, name, service, zone)
        self.slots, self.gap_s = slots, gap_s
        self.adapters, self.loading = {}, {}
        self.seq, self.fence = 0, 0
        self.orders = []
        # Time, id and version of the adapter of each run.
        self.begun = []

    def models(self):
        return [{"name": "m", "version": 1, "adapters": [f"{name}@{version}"
                                                         for name, version in sorted(self.adapters.items())]}]

    def entry(self, state="ready"):
        return {**super().entry(state), "seq": self.seq, "stage": "both", "models": self.models()}

    def newest_version(self, adapter):
        record = self.store.objects.get(("versions", f"m.{adapter}"))
        return record["spec"]["version"] if record else 1

    def finish_loads(self):
        for name, (version, end) in list(self.loading.items()):
            if end <= time.monotonic():
                self.adapters[name] = version
                del self.loading[name]

    def report(self):
        return {"stage": "both", "models": self.models(), "busy": False, "seq": self.seq, "waiting": 0, "running": 0,
                "kvUsed": 0, "kvTotal": 267448, "handles": 0,
                "coming": [f"m/{name}@{version}" for name, (version, _) in self.loading.items()]}

    def apply(self, order):
        """Applies an order; returns the status of its answer."""
        if "holder" not in order or "fence" not in order:
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        name = order.get("adapter")
        if name is None:
            return 200
        version = order.get("version") or self.newest_version(name)
        if order["operation"] == "load":
            if self.adapters.get(name, -1) >= version:
                return 200
            if name in self.loading:
                return 202
        elif name not in self.adapters:
            return 200
        if order.get("precondition", self.seq) != self.seq:
            return 409
        self.seq += 1
        if order["operation"] == "unload":
            del self.adapters[name]
            return 200
        self.loading[name] = version, time.monotonic() + ADAPTER_LOAD_S
        return 202

    async def respond(self, request, reader, writer):
        self.finish_loads()
        identity = request.headers.get("x-attempt-id", "")
        if request.target == "/-/report":
            writer.write(kit.json_response(200, self.report()))
            return True
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(kit.response(421, {"X-Attempt-Id": identity, "X-Not-Executed": "1"}))
            return True
        if request.target == "/-/order":
            order = json.loads(request.body)
            status = self.apply(order)
            self.orders.append((time.monotonic(), order, status))
            self.record.write(f"order {self.name} {json.dumps(order)} -> {status}")
            writer.write(kit.json_response(status))
            return True
        adapter = request.headers.get("x-model", "").partition("/")[2]
        if adapter and adapter not in self.adapters:
            writer.write(kit.response(421, {"X-Attempt-Id": identity, "X-Not-Executed": "1"}))
            return True
        if adapter in self.loading:
            writer.write(kit.response(503, {"X-Attempt-Id": identity, "X-Not-Executed": "1"}))
            return True
        self.start_run(request)
        self.begun.append((time.monotonic(), identity, adapter, self.adapters.get(adapter)))
        writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {identity}\r\nX-Response-Stamp: s.{self.name}\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(request.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {adapter} {identity}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        return True
