"""The commands of pondpinctl that ask a relaying instance at its metrics address."""

from rich.console import Console

from pondpin.runtime import ParsedCommand
from pondpin.tools.log_commands import NOTHING_STATUS
from pondpin.tools.operator_client import OperatorClient, ask_instances
from pondpin.tools.tables import print_json, print_rows

# The metrics address of an instance on the machine itself.
DEFAULT_METRICS_AT = "127.0.0.1:9464"
PATH = "/quarantine"
UPSTREAMS_PATH = "/upstreams"
PUBLISHED_PATH = "/published"


def quarantine(at: str = DEFAULT_METRICS_AT, json: bool = False) -> ParsedCommand:
    """Show the requests that a relaying instance suspects or holds back.

    at is its metrics address.
    """

    async def asking(client: OperatorClient, console: Console) -> int:
        rows = (await client.get_json(at, PATH))["requests"]
        if json:
            print_json(rows)
        else:
            print_rows(console, "Requests that upstreams ended under", rows)
        return 0

    return ask_instances(asking)


def standings(at: str = DEFAULT_METRICS_AT, json: bool = False) -> ParsedCommand:
    """Show each upstream of a relaying instance: whether it takes requests, leaves, rests or is
    ejected, by whose word, since when and for how much longer.

    at is the instance's metrics address.
    """

    async def asking(client: OperatorClient, console: Console) -> int:
        rows = (await client.get_json(at, UPSTREAMS_PATH))["upstreams"]
        if json:
            print_json(rows)
        else:
            print_rows(console, "Upstreams as they stand", rows)
        return 0

    return ask_instances(asking)


def published(at: str = DEFAULT_METRICS_AT, json: bool = False) -> ParsedCommand:
    """Show the configuration and list in force at a relaying instance: version, epoch, revision,
    how long ago each was proved, and the highest epoch of the source that it heard of; and the
    orders to evacuate data centres.

    at is the instance's metrics address.
    """

    async def asking(client: OperatorClient, console: Console) -> int:
        answer = await client.get_json(at, PUBLISHED_PATH)
        if json:
            print_json(answer)
        else:
            orders = answer.pop("evacuations", [])
            print_rows(console, "Published values in force", [answer])
            if orders:
                print_rows(console, "Data centres that are evacuated", orders)
        return 0

    return ask_instances(asking)


def lift(identity: str, at: str = DEFAULT_METRICS_AT) -> ParsedCommand:
    """Let a request run again that instances hold back; they tell each other.

    identity: 16 hexadecimal digits, as `quarantine` and the logs show them.
    """

    async def asking(client: OperatorClient, console: Console) -> int:
        answer = await client.delete(at, f"{PATH}/{identity}")
        print(answer.decode())
        return 0 if b'"ends":0' not in answer else NOTHING_STATUS

    return ask_instances(asking)
