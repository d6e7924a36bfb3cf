"""The `demo` command: starts a local cluster, prints example requests and runs until interrupted."""

import signal
import sys
import time

import gevent
import gevent.event

from flintreach.demo.cluster import CONTROLLER_ROLE, PEER_PORT, PROXY_ROLE, DemoCluster, Machine
from flintreach.demo.configuration import CONFIGURATION, HOST

NETWORK = "127.41.7"
START_TIMEOUT_S = 30.0
EXIT_SUCCESS = 0
EXIT_FAILURE = 1


def serve(proxies: int, controllers: int, plain: int, sharded: int, port: int) -> int:
    """Run a local cluster until SIGINT or SIGTERM.

    Args:
        proxies: number of proxies.
        controllers: number of controllers.
        plain: number of endpoints of the plain service.
        sharded: number of endpoints of the sharded service.
        port: the first of six consecutive ports.

    Returns:
        The exit status.
    """
    cluster = DemoCluster(NETWORK, port, controllers, proxies)
    stop_requested = gevent.event.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stop_requested.set)
    try:
        cluster.start()
        cluster.add_endpoints(plain, sharded)
        if not cluster.put_configuration(CONFIGURATION, time.monotonic() + START_TIMEOUT_S):
            print(
                f"flintreach: no controller accepted the configuration within {START_TIMEOUT_S:.0f} s; "
                f"logs in {cluster.work_dir}",
                file=sys.stderr,
            )
            cluster.removes_work_dir = False  # keep the logs for diagnosis
            return EXIT_FAILURE
        served = cluster.wait_for(lambda: both_services_answer(cluster), time.monotonic() + START_TIMEOUT_S)
        print(
            f"{controllers} controllers, {proxies} proxies, {plain + sharded} endpoints; "
            f"logs in {cluster.work_dir}"
        )
        for line in example_commands(first_proxy(cluster), cluster.with_role(CONTROLLER_ROLE)[0], port):
            print(f"  {line}")
        print(
            "ready" if served else "not ready: the first proxy does not reach both services yet", flush=True
        )
        stop_requested.wait()
        return EXIT_SUCCESS
    except OSError as error:
        print(
            f"flintreach: {error}; if another demo uses these ports, choose a different --port",
            file=sys.stderr,
        )
        return EXIT_FAILURE
    finally:
        cluster.stop()


def first_proxy(cluster: DemoCluster) -> Machine:
    """Return the proxy that the readiness probe and the example requests use."""
    return cluster.with_role(PROXY_ROLE)[0]


def both_services_answer(cluster: DemoCluster) -> bool:
    """Return whether the first proxy reaches endpoints of both services."""
    return is_answered(cluster, "/look/1", {}) and is_answered(cluster, "/fetch/1", {"X-Shard-Key": "7"})


def is_answered(cluster: DemoCluster, target: str, headers: dict[str, str]) -> bool:
    """Return whether an endpoint answers a request to the first proxy."""
    response = cluster.send_request(first_proxy(cluster), target, headers=headers)
    return response is not None and response.status == 200


def example_commands(proxy: Machine, controller: Machine, port: int) -> list[str]:
    """Return example command lines that query the cluster."""
    front = proxy.listen_addresses["front"]
    return [
        f"curl -H 'Host: {HOST}' http://{front}/look/7",
        f"curl -H 'Host: {HOST}' -H 'X-Shard-Key: 7' http://{front}/fetch/7",
        f"python3 -m flintreach show status --at {controller.ip}:{port + PEER_PORT}",
    ]
