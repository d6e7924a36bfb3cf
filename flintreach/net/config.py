"""What the platform tells a pilot: PROXY_CONFIG and the variables beside it."""

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
    """A configuration that nobody can start with; its text is for the operator."""


@dataclass(slots=True)
class Config:
    path: str
    document: dict  # the file as it was read
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
    kinds: dict[str, int]


def load(path: str | None, variables: dict[str, str] | None = None, again: bool = False) -> Config:
    """Variables go before the file, but not when it is read again: they are of the start."""
    variables = os.environ if variables is None else variables
    path = path or variables.get("PROXY_CONFIG")
    variables = {} if again else variables
    if not path:
        raise ConfigError("PROXY_CONFIG names no file")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
        seed = zlib.crc32(str(told.get("seed", "")).encode())
        nested = told["settings"]
        config = Config(
            path=path,
            document=told,
            name=variables.get("PROXY_NAME") or str(told.get("name", "")),
            seed=seed,
            listen=checked(variables.get("PROXY_LISTEN") or told["listen"]),
            discovery=checked(variables.get("PROXY_DISCOVERY") or told["discovery"]),
            store=checked(told["store"]["address"]),
            peer_listen=told.get("peer_listen") and checked(told["peer_listen"]),
            peers=[checked(peer) for peer in told.get("peers") or ()],
            peers_all=told.get("peers_all") and checked(told["peers_all"]),
            cached_list=told.get("known"),
            limits=Limits.of(told.get("limits") or {}),
            settings=settings.read(seed, dict(settings.flatten(nested))),
            zones={name: place for place, name in enumerate(nested.get("areas", ()))},
            kinds={name: place for place, name in enumerate(nested.get("machine_types", ()))},
        )
        if config.cached_list:
            for row in config.cached_list["endpoints"]:
                roster.entry(row, config)
        return config
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing or not known") from None
    except DECODE_ERRORS as error:
        raise ConfigError(f"{path}: {error}") from None


def checked(text: str) -> str:
    parse_address(text)
    return text
