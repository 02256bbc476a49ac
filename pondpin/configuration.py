"""The published configuration: upstreams, accounts, classes and rules, checked as a whole."""

import enum
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, Field, TypeAdapter
from pydantic.dataclasses import dataclass

from pondpin.errors import FieldError, raise_faults
from pondpin.network import EndpointText
from pondpin.policies import AdmissionPolicy, PlacementPolicy
from pondpin.pydantic_decoding import STRICT, decode_document
from pondpin.selectors import parse_selector

HIGHEST_PRIORITY = 100


def _check_selector(text: str) -> str:
    parse_selector(text)
    return text


SelectorText = Annotated[str, AfterValidator(_check_selector)]
Name = Annotated[str, Field(pattern="^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
LabelMap = dict[str, str]


class UpstreamKind(enum.StrEnum):
    """What an upstream is."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Model:
    """A model that callers may name."""

    labels: LabelMap = Field(default_factory=dict)
    chars_per_token: float = Field(default=4.0, gt=0)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Adapter:
    """An adapter of a model; callers name it as they name a model."""

    model: Name
    labels: LabelMap = Field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Upstream:
    """An engine or a plain service.

    checks_fences: the engine refuses orders with an old fence.
    checks_tokens: the service runs a call token at most once by itself.
    """

    kind: UpstreamKind
    address: EndpointText
    data_center: str
    model: str = ""
    service: str = ""
    role: str = "mixed"
    labels: LabelMap = Field(default_factory=dict)
    checks_fences: bool = False
    checks_tokens: bool = False


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Limits:
    """Limits of an account over all instances; zero means none. Rates are per second."""

    requests_per_second: float = Field(default=0.0, ge=0)
    tokens_per_second: float = Field(default=0.0, ge=0)
    long_prompts: int = Field(default=0, ge=0)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Account:
    """A client account; its API keys are kept as SHA-256 hashes."""

    keys_sha256: tuple[Annotated[str, Field(pattern="^[0-9a-f]{64}$")], ...] = Field(min_length=1)
    labels: LabelMap = Field(default_factory=dict)
    weight: float = Field(default=1.0, gt=0)
    limits: Limits = Field(default_factory=lambda: Limits())


@dataclass(frozen=True, kw_only=True, config=STRICT)
class LengthClass:
    """A named class of requests; the first whose selector matches takes the request."""

    name: Name
    match: SelectorText
    long: bool = False


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Rule:
    """What happens to the requests it matches; the first matching rule counts."""

    name: Name
    match: SelectorText
    upstreams: SelectorText
    priority: int = Field(default=50, ge=0, le=HIGHEST_PRIORITY)
    allowed_seconds: float = Field(default=60.0, gt=0)
    repeatable: bool = True
    token_required: bool = False
    weight: float = Field(default=1.0, gt=0)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Policy:
    """The choice between policies, and the aim between the two measures.

    short_weight: 0 favours time to first token across lengths, 1 the slowdown of short requests:
    it sets how fast waiting raises a request's priority.
    """

    placement: PlacementPolicy = PlacementPolicy.PREDICTED
    admission: AdmissionPolicy = AdmissionPolicy.DEADLINE
    priorities: bool = True
    choices: int = Field(default=3, ge=0)
    short_weight: float = Field(default=0.5, ge=0, le=1)
    queue_limit: int = Field(default=2000, ge=1)
    attempts: int = Field(default=3, ge=1)
    retry_ratio: float = Field(default=0.1, ge=0)
    prefill_ahead_seconds: float = Field(default=0.25, gt=0)
    loads_at_once: int = Field(default=1, ge=1)
    serving_floor: int = Field(default=1, ge=0)
    dwell_seconds: float = Field(default=30.0, ge=0)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Placement:
    """The model, role and adapters that engines shall have; the first that matches counts."""

    upstreams: SelectorText
    model: Name
    role: str = "mixed"
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Objective:
    """A service-level objective: the share of requests of a class that meet a bound."""

    name: Name
    measure: str = Field(pattern="^(ttft|in_time|refused|unknown)$")
    length_class: str = ""
    threshold_seconds: float = Field(default=0.0, ge=0)
    target: float = Field(gt=0, lt=1)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Configuration:
    """One accepted document; the platform gives its revision beside it.

    version is the operators' own number, 0 for none. One that rises with each document goes before
    the platform's revision, which starts over when the platform is restored from a copy.
    """

    models: dict[Name, Model]
    upstreams: dict[Name, Upstream]
    accounts: dict[Name, Account]
    rules: tuple[Rule, ...]
    classes: tuple[LengthClass, ...] = ()
    adapters: dict[Name, Adapter] = Field(default_factory=dict)
    placements: tuple[Placement, ...] = ()
    policy: Policy = Field(default_factory=lambda: Policy())
    objectives: tuple[Objective, ...] = ()
    version: int = Field(default=0, ge=0)


_ADAPTER: TypeAdapter[Configuration] = TypeAdapter(Configuration)


def _repeated(names: list[str]) -> set[str]:
    return {name for name in names if names.count(name) > 1}


def find_faults(configuration: Configuration) -> list[FieldError]:
    """Faults between the parts of a configuration that decodes."""
    return [
        *_find_upstream_faults(configuration),
        *_find_account_faults(configuration),
        *_find_name_faults(configuration),
        *_find_model_faults(configuration),
    ]


def _find_upstream_faults(configuration: Configuration) -> list[FieldError]:
    faults: list[FieldError] = []
    for name, upstream in configuration.upstreams.items():
        path = f"upstreams.{name}"
        if upstream.kind is UpstreamKind.ENGINE and upstream.model not in configuration.models:
            faults.append(FieldError(f"{path}.model", f"unknown model {upstream.model!r}"))
        if upstream.kind is UpstreamKind.SERVICE and not upstream.service:
            faults.append(FieldError(f"{path}.service", "a service upstream names its service"))
    addresses = [upstream.address for upstream in configuration.upstreams.values()]
    faults += [
        FieldError("upstreams", f"address {address} stands twice")
        for address in sorted(_repeated(addresses))
    ]
    return faults


def _find_account_faults(configuration: Configuration) -> list[FieldError]:
    faults: list[FieldError] = []
    owners: dict[str, str] = {}
    for name, account in configuration.accounts.items():
        for key in account.keys_sha256:
            if key in owners:
                fault = f"the same key as accounts.{owners[key]}"
                faults.append(FieldError(f"accounts.{name}.keys_sha256", fault))
            owners[key] = name
    return faults


def _find_name_faults(configuration: Configuration) -> list[FieldError]:
    named = {
        "rules": [rule.name for rule in configuration.rules],
        "classes": [item.name for item in configuration.classes],
    }
    faults = [
        FieldError(part, f"name {name!r} stands twice")
        for part, names in named.items()
        for name in sorted(_repeated(names))
    ]
    for i, objective in enumerate(configuration.objectives):
        if objective.length_class and objective.length_class not in named["classes"]:
            fault = f"unknown class {objective.length_class!r}"
            faults.append(FieldError(f"objectives[{i}].length_class", fault))
    return faults


def _find_model_faults(configuration: Configuration) -> list[FieldError]:
    faults: list[FieldError] = []
    for name, adapter in configuration.adapters.items():
        if adapter.model not in configuration.models:
            faults.append(FieldError(f"adapters.{name}.model", f"unknown model {adapter.model!r}"))
        if name in configuration.models:
            faults.append(FieldError(f"adapters.{name}", "a model has the same name"))
    for i, placement in enumerate(configuration.placements):
        if placement.model not in configuration.models:
            fault = f"unknown model {placement.model!r}"
            faults.append(FieldError(f"placements[{i}].model", fault))
    return faults


def decode_configuration(document: bytes, source: str) -> Configuration:
    """Decode and check a configuration; raises InvalidFileError with every fault."""
    configuration = decode_document(_ADAPTER, document, source)
    raise_faults(source, find_faults(configuration))
    return configuration


def read_configuration(path: str) -> Configuration:
    """Read a configuration file; raises InvalidFileError or OSError."""
    return decode_configuration(Path(path).read_bytes(), path)


def configuration_schema() -> dict[str, object]:
    """JSON schema of the configuration document."""
    return _ADAPTER.json_schema()
