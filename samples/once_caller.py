"""Calls a service that may not be repeated, through any entry instance, with a safe second try."""

import json
import sys
import urllib.error
import urllib.request
from email.message import Message

KEY = "padyak-demo-key"
TRIES = 3


def send(address: str, path: str, token: str = "") -> tuple[int, dict, dict]:
    """One POST: status, headers, document."""
    headers = {"authorization": f"Bearer {KEY}", "content-type": "application/json"}
    if token:
        headers["pondpin-token"] = token
    body = json.dumps({"call": "bike-2214"}).encode()
    request = urllib.request.Request(f"http://{address}{path}", body, headers, method="POST")
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status, lower_names(answer.headers), json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, lower_names(error.headers), json.load(error)


def lower_names(headers: Message) -> dict[str, str]:
    """Headers by their names in lower case: servers may write them as they like."""
    return {name.lower(): value for name, value in headers.items()}


def unlock(addresses: list[str]) -> str:
    """Unlock once; says 'ran', 'not run' or 'outcome unknown'."""
    _, _, document = send(addresses[0], "/v1/tokens?count=1")
    token = document["tokens"][0]
    outcome = "outcome unknown"
    for number in range(TRIES):
        try:
            status, headers, document = send(
                addresses[number % len(addresses)], "/v1/services/dock/unlock", token
            )
        except OSError:
            continue  # the instance is gone: the same token is safe at another one
        outcome = headers.get("pondpin-ran", outcome)
        if outcome == "not run" and "pondpin-next-token" in headers:
            token = headers["pondpin-next-token"]  # the old one is closed for good
            continue
        if status == 200 or not document["error"]["retry"]:
            return outcome
    return outcome


if __name__ == "__main__":
    print(unlock(sys.argv[1:] or ["127.0.0.31:8080"]))
