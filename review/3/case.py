"""LOST: after SIGTERM a proxy closes connections with no answer, as an endpoint is silent on the requests."""

import os
import random
import signal
import sys
import threading
import time
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from harness import (  # noqa: E402
    LARGE,
    Answer,
    CouldNotRun,
    Deployment,
    Endpoint,
    Record,
    configuration,
    request,
    route,
    run_case,
    service,
)

SERVICE = "huvo11a"
# A signing-post of the site file: deadline 25 s, work of 820 ms in the mean, spread 0.3.  An endpoint has 6
# slots and a queue of 24.
DEADLINE_MS = 25000
WORK_MEAN_S = 0.82
WORK_SPREAD = 0.3
BERTHS = 6
QUEUE = 24
ENDPOINTS = 2
REQUESTS = 80  # at once, where the endpoints take 60
SIGTERM_AFTER_S = 1.5

GRACE_S = LARGE.timetable["grace_s"]
STARTED_TIMEOUT_S = 20.0


class Sent:
    """One request of a client, and what came of it."""

    def __init__(self) -> None:
        self.try_id = uuid.uuid4().hex[:16]
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.answer: Answer | None = None


def work_s() -> float:
    """How long one request takes."""
    return max(0.1, random.gauss(WORK_MEAN_S, WORK_SPREAD * WORK_MEAN_S))


def case(record: Record, deployment: Deployment, trouble: bool) -> bool:
    """Stop a proxy in order while an endpoint leaves requests unanswered; whether LOST held."""
    deployment.start()
    routes = [route("r-signing", "unsafe", "/pufi791/", SERVICE, DEADLINE_MS, 4000, 2)]
    deployment.put_configuration(configuration(1, routes, [service(LARGE, SERVICE)]))
    zones = ["pl-caudan", "pl-ebene"]
    endpoints = [
        Endpoint(deployment, number, SERVICE, zones[number], work_s, BERTHS, QUEUE)
        for number in range(ENDPOINTS)
    ]
    deployment.wait_until_ready()
    proxy = deployment.with_role("proxy")[0]
    wait_until_served(deployment, proxy)

    requests: list[Sent] = []

    def send_one() -> None:
        sent = Sent()
        requests.append(sent)
        sent.answer = request(deployment.front(proxy), "POST", "/pufi791/2f", sent.try_id, DEADLINE_MS)
        sent.ended_at = time.monotonic()
        record.add(f"{sent.try_id}: {sent.answer.status} {sent.answer.text} after {sent.answer.took_s:.3f} s")

    clients = [threading.Thread(target=send_one, daemon=True) for _ in range(REQUESTS)]
    for client in clients:
        client.start()
    time.sleep(SIGTERM_AFTER_S)
    terminated_at = time.monotonic()
    if trouble:
        record.add(f"SIGTERM to {proxy.name}")
        proxy.send(signal.SIGTERM)
    for client in clients:
        client.join(DEADLINE_MS / 1000 + 3)
    if trouble:
        status = proxy.process.wait(GRACE_S)
        record.add(f"{proxy.name} has ended with status {status}")
    lost = [sent for sent in requests if is_lost(sent, endpoints, terminated_at)]
    for sent in lost:
        record.add(
            f"LOST: {sent.try_id} was passed on to an endpoint; its connection ended"
            f" {sent.ended_at - terminated_at:.3f} s after the SIGTERM and {sent.answer.took_s:.3f} s after"
            f" it was sent, with a deadline of {DEADLINE_MS / 1000} s: {sent.answer.text}"
        )
    record.add(f"{len(requests)} requests sent, {len(lost)} lost")
    for endpoint in endpoints:
        record.add(f"{endpoint.id} ran {len(endpoint.runs)} requests, {len(endpoint.arrivals)} arrived")
        endpoint.end()
    return not lost


def is_lost(sent: Sent, endpoints: list[Endpoint], terminated_at: float) -> bool:
    """Whether a request was lost by the rule, with all that the rule doesn't count left out."""
    if sent.answer is None or sent.answer.status:
        return False
    if sent.answer.took_s >= DEADLINE_MS / 1000 or sent.ended_at > terminated_at + GRACE_S + 1:
        return False
    if not any(sent.try_id in endpoint.arrivals for endpoint in endpoints):
        return False
    last_sixth = terminated_at + GRACE_S * 5 / 6
    return not any(
        run.try_id == sent.try_id and (run.ended is None or run.ended >= last_sixth)
        for endpoint in endpoints
        for run in endpoint.runs
    )


def wait_until_served(deployment: Deployment, proxy: object) -> None:
    """Wait until a request is served.

    Raises:
        CouldNotRun: none was in time.
    """
    deadline = time.monotonic() + STARTED_TIMEOUT_S
    while time.monotonic() < deadline:
        answer = request(deployment.front(proxy), "POST", "/pufi791/2f", uuid.uuid4().hex[:16], DEADLINE_MS)
        if answer.status == 200:
            time.sleep(LARGE.timetable["contact_ms"] / 1000)  # no trouble from contact_ms before the requests
            return
        time.sleep(0.2)
    raise CouldNotRun("no request was served in time")


if __name__ == "__main__":
    run_case(FOLDER, LARGE, case)
