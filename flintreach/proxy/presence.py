"""Whether an endpoint is still there and not leaving, by its own word: where no news confirm it in time.

An endpoint that is leaving says so in its answers (`Connection: close`), and its health answer is 200 only
while it is not (the users' page on endpoints).  So data plane traffic renews leases of its own while the
control plane is out of reach; an endpoint that nobody has used of late is asked once before it is used.
"""

import time

import gevent
from gevent.event import Event

from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.exchange import SECOND, ExchangeTerms, exchange
from flintreach.proxy.metrics import Metrics
from flintreach.proxy.reply import Message
from flintreach.proxy.view import RoutingView

HEALTH = "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Expect-Endpoint: {id}\r\n\r\n"
ASK_S, CONNECT_S = 0.6, 0.3  # for a health answer; of these, for its connection to come up


def stays(message: Message) -> bool:
    """Whether an answer shows that its endpoint had not begun to leave."""
    return "close" not in (message.get("connection") or "").lower()


class Presence:
    """Asks endpoints whose lease is over; one question to each at a time."""

    def __init__(self, view: RoutingView, metrics: Metrics):
        self.view, self.metrics = view, metrics
        self.asking: dict[str, Event] = {}  # id -> set when its answer has come, or none will

    def confirmed(self, endpoint: EndpointView, until: int) -> bool:
        """Whether a request may go out to an endpoint; it may be asked first.  `until`: steady ns."""
        now = time.monotonic_ns()
        if self.view.is_leased(endpoint, now):
            return True
        if endpoint.id not in self.asking:
            self.asking[endpoint.id] = Event()
            # In a greenlet of its own: others wait for the same answer when the one that asks is ended.
            gevent.spawn(self.ask, endpoint, now)
        self.asking[endpoint.id].wait((min(until, now + int(ASK_S * SECOND)) - now) / SECOND)
        return self.view.is_leased(endpoint, time.monotonic_ns())

    def ask(self, endpoint: EndpointView, now: int) -> None:
        """Put one question, and wake all that wait for its answer."""
        try:
            self.question(endpoint, now)
        finally:
            self.asking.pop(endpoint.id).set()

    def question(self, endpoint: EndpointView, now: int) -> None:
        config = self.view.routes.service_configs.get(endpoint.service)
        if config is None or not config.checkup:
            return
        self.metrics.count("asked for presence")
        lines = (
            f"GET {config.checkup} HTTP/1.1",
            f"Host: {endpoint.address}",
            f"X-Expect-Endpoint: {endpoint.id}",
        )
        head = "\r\n".join([*lines, "", ""]).encode()
        terms = ExchangeTerms(now + int(ASK_S * SECOND), CONNECT_S)
        message = exchange(endpoint.pool, head, b"", "", terms).message
        if message is not None and message.status == 200 and message.get("x-endpoint-id") == endpoint.id:
            endpoint.confirm_present(now)
