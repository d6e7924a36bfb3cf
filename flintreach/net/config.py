"""The platform's configuration of a pilot: the file that `PROXY_CONFIG` names, and environment variables."""

import json
import os
import zlib
from dataclasses import dataclass

from flintreach.net import roster
from flintreach.net.http import parse_address
from flintreach.net.limits import Limits
from flintreach.net.reading import DECODE_ERRORS
from flintreach.pilot import interface, settings


class ConfigError(ValueError):
    """A configuration that can't be used; its text is for the operator."""


@dataclass(slots=True)
class Config:
    """A configuration that has been checked.

    Attributes:
        path: of the file.
        document: the file as it was read.
        name: of the pilot, for its log and metrics.
        seed: of all random draws.
        listen: address for clients.
        discovery: address of discovery.
        store: address of the relay.
        peer_listen: address for datagrams of other pilots, if any.
        peers: addresses of all pilots, by their numbers.
        peers_all: address that reaches all pilots, if any.
        cached_list: the last list of servers that the platform knows, if any.
        limits: of the transport.
        settings: of the decision logic.
        zones: numbers of zones, by their names.
        machine_types: numbers of machine types, by their names.
    """

    path: str
    document: dict
    name: str
    seed: int
    listen: str
    discovery: str
    store: str
    peer_listen: str | None
    peers: list[str]
    peers_all: str | None
    cached_list: dict | None
    limits: Limits
    settings: interface.Settings
    zones: dict[str, int]
    machine_types: dict[str, int]


def load(path: str | None, variables: dict[str, str] | None = None, again: bool = False) -> Config:
    """Read and check a configuration.

    Args:
        path: of the file; without one, `PROXY_CONFIG` names it.
        variables: of the environment, which override the file.
        again: at a reload, where only the file counts: the variables are those of the start.

    Raises:
        ConfigError: the file can't be read, or a value is missing or malformed.
    """
    variables = os.environ if variables is None else variables
    path = path or variables.get("PROXY_CONFIG")
    variables = {} if again else variables
    if not path:
        raise ConfigError("PROXY_CONFIG names no file")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
        seed = zlib.crc32(str(document.get("seed", "")).encode())
        nested = document["settings"]
        config = Config(
            path=path,
            document=document,
            name=variables.get("PROXY_NAME") or str(document.get("name", "")),
            seed=seed,
            listen=checked_address(variables.get("PROXY_LISTEN") or document["listen"]),
            discovery=checked_address(variables.get("PROXY_DISCOVERY") or document["discovery"]),
            store=checked_address(document["store"]["address"]),
            peer_listen=document.get("peer_listen") and checked_address(document["peer_listen"]),
            peers=[checked_address(peer) for peer in document.get("peers") or ()],
            peers_all=document.get("peers_all") and checked_address(document["peers_all"]),
            cached_list=document.get("known"),
            limits=Limits.of(document.get("limits") or {}),
            settings=settings.read(seed, dict(settings.flatten(nested))),
            zones={name: place for place, name in enumerate(nested.get("areas", ()))},
            machine_types={name: place for place, name in enumerate(nested.get("machine_types", ()))},
        )
        if config.cached_list:
            for row in config.cached_list["endpoints"]:
                roster.parse_entry(row, config)
        return config
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing or not known") from None
    except DECODE_ERRORS as error:
        raise ConfigError(f"{path}: {error}") from None


def checked_address(text: str) -> str:
    """Return an address that has been checked.

    Raises:
        ValueError: it is not `host:port`.
    """
    parse_address(text)
    return text
