"""The demo as a command: starts a cluster, says how to ask it, and stays until it is interrupted."""

import signal
import sys
import time

import gevent
import gevent.event

from flintreach.demo.cluster import CONTROLLER_ROLE, PEER_PORT, PROXY_ROLE, DemoCluster, Machine
from flintreach.demo.configuration import CONFIGURATION, HOST

NETWORK = "127.41.7"
START_TIMEOUT_S = 30.0
DONE = 0
FAILED = 1


def serve(proxies: int, controllers: int, desks: int, stores: int, port: int) -> int:
    """Run the system until SIGINT or SIGTERM.

    Args:
        proxies: how many.
        controllers: how many.
        desks: how many endpoints of the plain service.
        stores: how many endpoints of the sharded service.
        port: the first of six ports that are used.

    Returns:
        The exit status.
    """
    cluster = DemoCluster(NETWORK, port, controllers, proxies)
    ending = gevent.event.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, ending.set)
    try:
        cluster.start()
        cluster.add_endpoints(desks, stores)
        if not cluster.put(CONFIGURATION, time.monotonic() + START_TIMEOUT_S):
            print(
                f"flintreach: no controller accepted a configuration; logs under {cluster.folder}",
                file=sys.stderr,
            )
            cluster.owns_folder = False  # the logs stay
            return FAILED
        served = cluster.wait(lambda: both_services_answer(cluster), time.monotonic() + START_TIMEOUT_S)
        print(
            f"{controllers} controllers, {proxies} proxies, {desks + stores} endpoints; "
            f"logs under {cluster.folder}"
        )
        for line in usage(first_proxy(cluster), cluster.of(CONTROLLER_ROLE)[0], port):
            print(f"  {line}")
        print("ready" if served else "not all is served yet", flush=True)
        ending.wait()
        return DONE
    except OSError as error:
        print(f"flintreach: {error}; another demo, perhaps: choose another --port", file=sys.stderr)
        return FAILED
    finally:
        cluster.stop()


def first_proxy(cluster: DemoCluster) -> Machine:
    """The proxy that is asked."""
    return cluster.of(PROXY_ROLE)[0]


def both_services_answer(cluster: DemoCluster) -> bool:
    """Whether the first proxy has endpoints for both services."""
    return answers(cluster, "/look/1", {}) and answers(cluster, "/fetch/1", {"X-Shard-Key": "7"})


def answers(cluster: DemoCluster, target: str, headers: dict[str, str]) -> bool:
    """Whether a request to the first proxy is answered by an endpoint."""
    answer = cluster.ask(first_proxy(cluster), target, headers=headers)
    return answer is not None and answer.status == 200


def usage(proxy: Machine, controller: Machine, port: int) -> list[str]:
    """Command lines that ask the system."""
    front = proxy.posts["front"]
    return [
        f"curl -H 'Host: {HOST}' http://{front}/look/7",
        f"curl -H 'Host: {HOST}' -H 'X-Shard-Key: 7' http://{front}/fetch/7",
        f"python3 -m flintreach show status --at {controller.ip}:{port + PEER_PORT}",
    ]
