"""pondpinctl: operators' client."""

import asyncio
import datetime
import ipaddress
import sys
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import msgspec
from rich.console import Console

from pondpin.command_files import read_or_exit
from pondpin.configuration import Configuration, configuration_schema, read_configuration
from pondpin.decisions import Decision, tell
from pondpin.filters.rule import find_length_class, find_rule
from pondpin.fleet import label_upstream
from pondpin.runtime import USAGE_STATUS, ParsedCommand, run_command
from pondpin.selectors import SelectorError, parse_selector
from pondpin.settings import read_settings, settings_schema
from pondpin.tools.authority import make_authority, make_certificate
from pondpin.tools.differences import tell_differences
from pondpin.tools.log_commands import FAULT_STATUS, NOTHING_STATUS, PROGRAM, losses, trace
from pondpin.tools.operator_client import (
    UNREACHABLE_STATUS,
    OperatorClient,
    ask_instances,
)
from pondpin.tools.relay_commands import lift, published, quarantine, standings
from pondpin.tools.tables import make_console, print_json, print_rows

DEFAULT_AT = "127.0.0.1:8081"


def _read_configuration(path: str) -> Configuration:
    return read_or_exit(PROGRAM, path, read_configuration, FAULT_STATUS)


def check(file: str) -> ParsedCommand:
    """Check a configuration file as an instance would."""

    def start() -> int:
        configuration = _read_configuration(file)
        counts = (
            f"{len(configuration.upstreams)} upstreams, {len(configuration.accounts)} accounts,"
            f" {len(configuration.rules)} rules"
        )
        print(f"{file} is sound: {counts}")
        return 0

    return ParsedCommand(start)


def check_settings(file: str) -> ParsedCommand:
    """Check the settings file of an instance."""

    def start() -> int:
        settings = read_or_exit(PROGRAM, file, read_settings, FAULT_STATUS)
        print(f"{file} is sound: instance {settings.instance} in {settings.data_center}")
        return 0

    return ParsedCommand(start)


def diff(old: str, new: str) -> ParsedCommand:
    """Say in words what a new configuration file would change."""

    def start() -> int:
        lines = tell_differences(_read_configuration(old), _read_configuration(new))
        print("\n".join(lines) if lines else "nothing changes")
        return 0

    return ParsedCommand(start)


def match(file: str, selector: str = "", request: str = "") -> ParsedCommand:
    """Show which upstreams a selector takes, and which rule takes a request of labels a=b,c=d."""

    def start() -> int:
        configuration = _read_configuration(file)
        try:
            compiled = parse_selector(selector)
        except SelectorError as error:
            print(f"pondpinctl: {error}", file=sys.stderr)
            return FAULT_STATUS
        rows = [
            {"upstream": name, "labels": label_upstream(name, upstream)}
            for name, upstream in sorted(configuration.upstreams.items())
            if compiled.matches(label_upstream(name, upstream))
        ]
        print_rows(make_console(), f"Upstreams taken by {selector!r}", rows)
        if request:
            _show_rule(configuration, request)
        return 0 if rows else NOTHING_STATUS

    return ParsedCommand(start)


def _show_rule(configuration: Configuration, request: str) -> None:
    pairs = (part.partition("=") for part in request.split(","))
    labels = {name.strip(): value.strip() for name, _, value in pairs}
    found = find_length_class(configuration, labels)
    labels["class"] = found.name if found is not None else "none"
    rule = find_rule(configuration, labels)
    print(f"class {labels['class']}; rule {rule.name if rule is not None else 'none: refused'}")


def status(at: str = DEFAULT_AT, json: bool = False) -> ParsedCommand:
    """Show what is in force on an instance and its peers."""

    async def asking(client: OperatorClient, console: Console) -> int:
        answer = await client.get_json(at, "/v1/status")
        if json:
            print_json(answer)
            return 0
        own = {name: value for name, value in answer.items() if name != "peers"}
        print_rows(console, f"Instance {answer['instance']}", [own])
        rows = [peer | {"lags": _find_lag(peer, answer)} for peer in answer["peers"]]
        print_rows(console, "Peers, as this instance hears them", rows)
        return 0

    return ask_instances(asking)


def _find_lag(peer: dict[str, Any], own: dict[str, Any]) -> str:
    if not peer["alive"]:
        return "not heard from"
    if peer["epoch"] != own["epoch"]:
        return f"epoch {peer['epoch']} of {own['epoch']}"
    if peer["revision"] < own["revision"]:
        return f"behind: {peer['revision']} of {own['revision']}"
    return ""


def upstreams(at: str = DEFAULT_AT, json: bool = False) -> ParsedCommand:
    """Show the upstreams as an instance knows them."""

    async def asking(client: OperatorClient, console: Console) -> int:
        rows = await client.get_json(at, "/v1/upstreams")
        if json:
            print_json(rows)
            return 0
        shown = (
            "name", "kind", "in_service", "why_not", "report_age", "blocks", "blocks_held",
            "queued_tokens", "running", "own_work", "prefill_per_token", "prefix_trust",
        )  # fmt: skip
        print_rows(console, "Upstreams", [{name: row[name] for name in shown} for row in rows])
        return 0

    return ask_instances(asking)


def rules(at: str = DEFAULT_AT, json: bool = False) -> ParsedCommand:
    """Show the rules in force on an instance."""
    return _show_part(at, json, "rules")


def accounts(at: str = DEFAULT_AT, json: bool = False) -> ParsedCommand:
    """Show the client accounts in force on an instance, without their keys."""
    return _show_part(at, json, "accounts")


def labels(at: str = DEFAULT_AT, json: bool = False) -> ParsedCommand:
    """Show the labels of the upstreams known to an instance."""

    async def asking(client: OperatorClient, console: Console) -> int:
        rows = await client.get_json(at, "/v1/upstreams")
        taken = [{"name": row["name"]} | row["labels"] for row in rows]
        if json:
            print_json(taken)
        else:
            print_rows(console, "Labels", taken)
        return 0

    return ask_instances(asking)


def _show_part(at: str, as_json: bool, part: str) -> ParsedCommand:
    async def asking(client: OperatorClient, console: Console) -> int:
        document = (await client.get_json(at, "/v1/configuration"))[part]
        if isinstance(document, dict):
            document = [{"name": name} | value for name, value in document.items()]
        rows = [
            {name: value for name, value in row.items() if name != "keys_sha256"}
            for row in document
        ]
        if as_json:
            print_json(rows)
        else:
            print_rows(console, part.capitalize(), rows)
        return 0

    return ask_instances(asking)


def why(
    request: str = "",
    account: str = "",
    upstream: str = "",
    last_refused: bool = False,
    limit: int = 1,
    at: str = DEFAULT_AT,
    json: bool = False,
) -> ParsedCommand:
    """Say why a request went where it went, waited or was refused."""

    async def asking(client: OperatorClient, console: Console) -> int:
        asked = {
            "request": request,
            "account": account,
            "upstream": upstream,
            "refused": "yes" if last_refused else "",
            "limit": str(limit),
        }
        body = await client.get(at, f"/v1/explain?{urlencode(asked)}")
        decisions = msgspec.json.decode(body, type=list[Decision])
        if json:
            print(body.decode())
        else:
            print("\n\n".join("\n".join(tell(decision)) for decision in decisions))
        if not decisions:
            print("pondpinctl: no such decision is kept", file=sys.stderr)
        return 0 if decisions else NOTHING_STATUS

    return ask_instances(asking)


def instances(at: str = DEFAULT_AT, json: bool = False) -> ParsedCommand:
    """Show what each of several instances (IP:port,IP:port) has in force."""

    async def asking(client: OperatorClient, console: Console) -> int:
        addresses = [str(part) for part in at.split(",")] if isinstance(at, str) else list(at)
        answers = await asyncio.gather(
            *(client.get_json(address, "/v1/status") for address in addresses),
            return_exceptions=True,
        )
        rows = []
        for address, answer in zip(addresses, answers, strict=True):
            if isinstance(answer, BaseException):
                rows.append({"address": address, "state": f"NOT REACHED: {answer}"})
            else:
                kept = (
                    "instance",
                    "data_center",
                    "epoch",
                    "revision",
                    "refused_revision",
                    "open_calls",
                )
                state = "draining" if answer["draining"] else "ready" if answer["ready"] else "no"
                rows.append(
                    {"address": address, "state": state} | {name: answer[name] for name in kept}
                )
        if json:
            print_json(rows)
        else:
            print_rows(console, "Instances", rows)
        unreached = any("NOT REACHED" in str(row["state"]) for row in rows)
        return UNREACHABLE_STATUS if unreached else 0

    return ask_instances(asking)


def drain(at: str) -> ParsedCommand:
    """Make an instance not ready; what is in flight goes on."""
    return _act(at, "/v1/drain")


def undrain(at: str) -> ParsedCommand:
    """Make a drained instance ready again."""
    return _act(at, "/v1/undrain")


def _act(at: str, path: str) -> ParsedCommand:
    async def asking(client: OperatorClient, console: Console) -> int:
        print((await client.post(at, path)).decode())
        return 0

    return ask_instances(asking)


def schema(of: str = "configuration") -> ParsedCommand:
    """Print the JSON schema of the configuration or of the settings."""

    def start() -> int:
        known = {"configuration": configuration_schema, "settings": settings_schema}
        if of not in known:
            print("pondpinctl: --of is configuration or settings", file=sys.stderr)
            return USAGE_STATUS
        print_json(known[of]())
        return 0

    return ParsedCommand(start)


def authority(folder: str) -> ParsedCommand:
    """Make a test authority in a folder."""

    def start() -> int:
        make_authority(Path(folder), datetime.datetime.now(datetime.UTC))
        return 0

    return ParsedCommand(start)


def certificate(folder: str, name: str, address: str) -> ParsedCommand:
    """Make a certificate for an IP number, signed by the folder's authority."""

    def start() -> int:
        try:
            ipaddress.ip_address(address)
            make_certificate(Path(folder), name, address, datetime.datetime.now(datetime.UTC))
        except (OSError, ValueError) as error:
            print(f"pondpinctl: {error}", file=sys.stderr)
            return FAULT_STATUS
        return 0

    return ParsedCommand(start)


COMMANDS = {
    "accounts": accounts,
    "authority": authority,
    "certificate": certificate,
    "check": check,
    "check_settings": check_settings,
    "diff": diff,
    "drain": drain,
    "instances": instances,
    "labels": labels,
    "lift": lift,
    "losses": losses,
    "match": match,
    "published": published,
    "quarantine": quarantine,
    "rules": rules,
    "schema": schema,
    "standings": standings,
    "status": status,
    "undrain": undrain,
    "upstreams": upstreams,
    "trace": trace,
    "why": why,
}


def main() -> None:
    """Entry point of pondpinctl."""
    run_command(COMMANDS, PROGRAM)


if __name__ == "__main__":
    main()
