"""HTTP API of a controller: body limits, status codes, and calls that must not be confirmed."""

import unittest
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any
from unittest import mock

import gevent
import gevent.socket
import msgspec

from flintreach.api import calls
from flintreach.common.memory_budget import MemoryBudget, Reservation
from flintreach.controller import request_body
from flintreach.controller.http_api import (
    MAX_BODY_BYTES,
    MAX_CONFIGURATION_BYTES,
    ControlApi,
    Refusal,
    RequestHandler,
)
from flintreach.controller.operator_requests import RequestOutcome
from flintreach.controller.quorum_contact import MAX_CHECK_GAP_S, RESUME_DELAY_S, QuorumContact
from flintreach.controller.request_body import MAX_SHORT_CONFIGURATION_BYTES, PUT_COPIES, BodyIncomplete
from flintreach.transport import peer_connection
from tests.controller.simulated_peers import ALL_CALLS, FakePlane, call_api, configuration_body

PUT_PATH = "/v1/timetable/put"
HEARTBEAT_BODY = msgspec.json.encode(
    {
        "line": "desk",
        "addr": "10.0.0.9:80",
        "zone": "north",
        "berths": 2,
        "state": "ready",
        "call_seq": 1,
        "edition": "v1",
        "cold_left_ms": 0,
    }
)
REQUESTS = {
    "resolve": ("GET", "/v1/directions", b""),
    "put": ("POST", PUT_PATH, configuration_body(3)),
    "get": ("GET", "/v1/timetable/get", b""),
    "evacuate": ("POST", "/v1/evacuate/north/start", b""),
    "resume": ("POST", "/v1/evacuate/north/finish", b""),
    "leave": ("POST", "/v1/endpoints/e/sign-off", b""),
    "beat": ("POST", "/v1/endpoints/e/check-in", HEARTBEAT_BODY),
}


class BodySizes(unittest.TestCase):
    def setUp(self) -> None:
        self.put_bodies: list[bytes] = []

        def put(number: int, body: bytes, may_proceed: Callable[[], bool]) -> RequestOutcome:
            self.put_bodies.append(body)
            return RequestOutcome.ACCEPTED

        self.put = put
        plane = FakePlane(operator_requests=SimpleNamespace(put=put, published_bytes=lambda: 0))
        self.api = ControlApi(plane, ALL_CALLS)

    def test_a_body_above_the_limit_is_rejected_by_its_content_length_and_left_unread(self) -> None:
        self.assertLessEqual(2 * MAX_CONFIGURATION_BYTES, peer_connection.MAX_MESSAGE_BYTES)
        for path, max_bytes in (
            (PUT_PATH, MAX_CONFIGURATION_BYTES),
            ("/v1/endpoints/e/check-in", MAX_BODY_BYTES),
            ("/v1/evacuate/north/start", MAX_BODY_BYTES),
        ):
            status, answer, headers, read_bytes = call_api(
                self.api, "POST", path, b" " * 1000, content_length=max_bytes + 1
            )
            self.assertEqual((status, read_bytes, headers["Connection"]), (413, 0, "close"), path)
            self.assertIn(str(max_bytes), answer["fault"])

    def test_reading_of_a_chunked_body_stops_when_it_exceeds_the_limit(self) -> None:
        chunk = b"10000\r\n" + b" " * 65536 + b"\r\n"
        status, _, _, read_bytes = call_api(self.api, "POST", PUT_PATH, chunk * 200, chunked=True)
        self.assertEqual(status, 413)
        self.assertLess(read_bytes, MAX_CONFIGURATION_BYTES + 70000)

    def test_a_body_at_the_limit_is_read_completely(self) -> None:
        configuration = configuration_body(1)
        body = configuration + b" " * (MAX_CONFIGURATION_BYTES - len(configuration))
        self.assertEqual(call_api(self.api, "POST", PUT_PATH, body)[0], 200)
        self.assertEqual(self.put_bodies, [body])

    def test_a_long_configuration_waits_for_memory_and_is_refused_without(self) -> None:
        length = MAX_SHORT_CONFIGURATION_BYTES + 1
        plane = FakePlane(operator_requests=SimpleNamespace(put=self.put, published_bytes=lambda: length))
        memory = MemoryBudget(PUT_COPIES * length)
        api = ControlApi(plane, ALL_CALLS, memory)
        held = Reservation(memory)
        held.grow_to(memory.capacity_bytes)
        body = configuration_body(1).ljust(length)
        with mock.patch.object(request_body, "MEMORY_TIMEOUT_S", 0.01):
            for method, path in (("POST", PUT_PATH), ("GET", "/v1/timetable/get")):
                status, _, headers, _ = call_api(api, method, path, body)
                self.assertEqual((status, "Retry-After" in headers), (503, True), path)
        self.assertEqual(self.put_bodies, [])
        self.assertEqual(call_api(api, "POST", PUT_PATH, configuration_body(1))[0], 200)
        held.release()
        self.assertEqual(call_api(api, "POST", PUT_PATH, body)[0], 200)
        self.assertEqual(memory.used_bytes, 0)

    def test_a_body_that_is_not_received_in_time_is_a_bad_request(self) -> None:
        environ = {"wsgi.input": SimpleNamespace(read=lambda _: gevent.sleep(1))}
        with mock.patch.object(request_body, "BODY_TIMEOUT_S", 0.01), self.assertRaises(BodyIncomplete):
            request_body.read_body(environ, 10)

    def test_a_body_that_ends_early_is_a_bad_request(self) -> None:
        status, answer, _, _ = call_api(self.api, "POST", PUT_PATH, b"{", content_length=50)
        self.assertEqual((status, answer["fault"][:5]), (400, "body:"))


class PutStatuses(unittest.TestCase):
    def test_only_conflicting_content_is_rejected(self) -> None:
        """An outcome that can't be determined is answered with 503 and Retry-After."""
        for outcome, expected_status in (
            (RequestOutcome.ACCEPTED, 200),
            (RequestOutcome.REPEATED, 200),
            (RequestOutcome.SUPERSEDED, 200),
            (RequestOutcome.CONFLICT, 409),
            (RequestOutcome.HISTORY_EXPIRED, 503),
            (RequestOutcome.UNKNOWN, 503),
        ):
            requests = SimpleNamespace(put=lambda number, body, may_proceed, outcome=outcome: outcome)
            api = ControlApi(FakePlane(operator_requests=requests), ALL_CALLS)
            status, answer, headers, _ = call_api(api, "POST", PUT_PATH, configuration_body(1))
            self.assertEqual(
                (status, "fault" in answer, "Retry-After" in headers),
                (expected_status, expected_status != 200, expected_status == 503),
                outcome,
            )


class CallerConnection(unittest.TestCase):
    def test_a_closed_connection_is_detected_and_a_pipelined_request_is_not_mistaken_for_it(self) -> None:
        server_socket, caller_socket = gevent.socket.socketpair()
        handler = RequestHandler.__new__(RequestHandler)
        handler.socket = server_socket
        self.assertFalse(handler.caller_disconnected())
        caller_socket.sendall(b"GET ")  # a pipelined request
        self.assertFalse(handler.caller_disconnected())
        server_socket.recv(4)
        caller_socket.close()
        self.assertTrue(handler.caller_disconnected())
        server_socket.close()
        self.assertTrue(handler.caller_disconnected())


class QuorumContactBeforeAnswering(unittest.TestCase):
    """Each call of the table: with and without quorum contact, after and during a suspension."""

    def setUp(self) -> None:
        self.handled: list[str] = []
        self.handling_s = 0.0
        self.suspended_while_handled = False
        self.configuration: bytes | None = b"{}"

    def plane_and_api(self) -> tuple[FakePlane, ControlApi]:
        """A controller whose calls take `handling_s`, during which it may be suspended."""

        def handler_returning(name: str, result: Any) -> Callable[..., Any]:
            def handle(*args: Any) -> Any:
                self.handled.append(name)
                plane.pass_time(self.handling_s, self.suspended_while_handled)
                return result() if callable(result) else result

            return handle

        plane = FakePlane(
            operator_requests=SimpleNamespace(
                put=handler_returning("put", RequestOutcome.ACCEPTED),
                evacuate=handler_returning("evacuate", RequestOutcome.ACCEPTED),
                get=handler_returning("get", lambda: (True, self.configuration)),
                published_bytes=lambda: 0,
            ),
            endpoints=SimpleNamespace(
                record_heartbeat=handler_returning("beat", True), sign_off=handler_returning("leave", True)
            ),
            load_placement=SimpleNamespace(
                proxy_addresses=handler_returning("resolve", ["10.1.0.1:80"]), record_answer=lambda now: 0.5
            ),
        )
        return plane, ControlApi(plane, ALL_CALLS)

    def each_call(self) -> Iterator[tuple[str, FakePlane, Callable[[], tuple], float, float | None]]:
        """Yield name, plane, a function that makes the call, and the limits of contact age and call age."""
        for name, (method, path, body) in REQUESTS.items():
            plane, api = self.plane_and_api()
            self.handled.clear()

            def make_call(
                api: ControlApi = api, method: str = method, path: str = path, body: bytes = body
            ) -> tuple:
                return call_api(api, method, path, body)[:3]

            yield name, plane, make_call, *calls.CALL_LIMITS[name]

    def test_every_call_has_a_test_request_and_limits(self) -> None:
        self.assertEqual({*REQUESTS}, ALL_CALLS)
        self.assertEqual({*REQUESTS} | {"ready"}, {*calls.CALL_LIMITS})
        for name in REQUESTS:
            contact_s, call_age_s = calls.CALL_LIMITS[name]
            self.assertTrue(contact_s <= 2.0 and (name == "resolve" or call_age_s < 1.0), name)

    def test_each_call_is_answered_with_quorum_contact(self) -> None:
        for name, plane, make_call, contact_s, _ in self.each_call():
            plane.pass_time(contact_s - 0.01)
            self.assertEqual((make_call()[0], len(self.handled)), (200, 1), name)

    def test_each_call_is_refused_immediately_without_quorum_contact(self) -> None:
        for name, plane, make_call, contact_s, _ in self.each_call():
            plane.pass_time(contact_s + 0.01)
            called_at = plane.time
            status, answer, headers = make_call()
            self.assertEqual(
                (status, answer, plane.time, self.handled),
                (503, {"fault": Refusal.NO_QUORUM_CONTACT}, called_at, []),
                name,
            )
            self.assertEqual((headers["Retry-After"], plane.refusals), ("0.2", [Refusal.NO_QUORUM_CONTACT]))

    def test_each_call_is_refused_before_the_first_quorum_contact(self) -> None:
        for name, plane, make_call, _, _ in self.each_call():
            plane.quorum_contact = QuorumContact()
            self.assertEqual(make_call()[:2], (503, {"fault": Refusal.NO_QUORUM_CONTACT}), name)

    def test_a_request_that_was_unread_during_a_suspension_is_refused(self) -> None:
        for name, plane, make_call, _, call_age_s in self.each_call():
            plane.pass_time(MAX_CHECK_GAP_S + 0.05, suspended=True)
            status, answer, _ = make_call()
            if call_age_s:
                self.assertEqual((status, answer), (503, {"fault": Refusal.SUSPENDED}), name)
            else:
                self.assertEqual((status, answer), (200, make_call()[1]), name)
            plane.pass_time(RESUME_DELAY_S + 0.01)
            plane.make_contact()
            self.assertEqual(make_call()[0], 200, name)

    def test_nothing_is_confirmed_after_a_suspension_between_execution_and_response(self) -> None:
        """No 4xx either: what `get` read before the suspension may have changed since."""
        self.handling_s = 5.0
        self.suspended_while_handled = True
        for configuration in (b"{}", None):
            self.configuration = configuration
            for name, _, make_call, _, _ in self.each_call():
                status, answer, _ = make_call()
                self.assertEqual((status, len(self.handled)), (503, 1), name)
                self.assertIn(answer["fault"], (Refusal.SUSPENDED, Refusal.NO_QUORUM_CONTACT))

    def test_a_call_that_took_longer_than_the_timeout_of_callers_is_not_confirmed(self) -> None:
        for name, plane, make_call, _, call_age_s in self.each_call():
            if not call_age_s:
                continue
            self.handling_s = call_age_s + 0.05
            self.assertEqual(make_call()[:2], (503, {"fault": Refusal.TOO_LATE}), name)
            self.handling_s = call_age_s - 0.05
            plane.make_contact()
            self.assertEqual(make_call()[0], 200, name)


if __name__ == "__main__":
    unittest.main()
