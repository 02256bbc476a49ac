"""An instance gets SIGTERM while long prompts wait in its queue: what becomes of these?"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import ENGINE, HOST, Deployment, Engine, run_case  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
DEADLINE_S = 15.0
ENGINES = 2
FIRST_TOKENS = 590_000
TOKENS = 100_000


def configuration():
    route = {
        "name": "digest", "host": HOST, "pathPrefix": "/digest/", "routeType": "streaming",
        "timeoutMs": 15000, "targetLatencyMs": 3000, "priority": 1, "service": "huvo11a",
        "maxAttempts": 2, "public": False, "sessionAffinity": True, "streamResume": True,
        "gap_aim_ms": 800,
    }  # fmt: skip
    return {
        "version": 7,
        "routes": [route],
        "services": [
            {"name": "huvo11a", "healthPath": "/healthz", "maxConns": 284, "protocol": "h1",
             "tls": False, "engine": ENGINE}
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }  # fmt: skip


async def play(folder, trouble):
    deployment = Deployment(folder, grace_s=GRACE_S)
    record = deployment.record
    try:
        await deployment.start()
        deployment.store.put("op/config", configuration())
        engines = [Engine(record, f"i-7f3a91c{number}", "huvo11a") for number in range(ENGINES)]
        for engine in engines:
            await deployment.add_worker(engine)
        await deployment.start_instances()
        await asyncio.sleep(1.0)

        def send(number, tokens):
            headers = [
                ("X-Model", "m"),
                ("X-Token-Usage", f"{tokens},736"),
                ("X-Prompt-Prefix", f"5c1e07a2:40,91bd{number:04x}:{tokens - 40}"),
            ]
            sending = deployment.client.send(
                deployment.callers[0], "POST", "/digest/2f", KEY, headers, b"x" * 500,
                deadline_s=DEADLINE_S, note=f"with a prompt of {tokens} tokens",
            )  # fmt: skip
            return asyncio.ensure_future(sending)

        # The first prompt keeps both engines busy for some 9 s; the others wait for its end.
        jobs = [send(0, FIRST_TOKENS)]
        await asyncio.sleep(0.2)
        for number in range(1, 4):
            jobs.append(send(number, TOKENS))
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        stopped_at = record.now()
        if trouble:
            deployment.signal(0, signal.SIGTERM)
        results = await asyncio.gather(*jobs)
        passed_on = {attempt for engine in engines for attempt, _ in engine.arrivals}
        lost = [
            sent for sent in results
            if sent.at < stopped_at and not sent.whole and sent.attempt not in passed_on
            and LOSS_SLACK_S < sent.ended_at - sent.at < DEADLINE_S - 0.5
            and stopped_at < sent.ended_at < stopped_at + GRACE_S + 1.0
        ]  # fmt: skip
        if not trouble and not all(sent.whole for sent in results):
            raise RuntimeError("a request was not answered without a disruption")
        served = sum(sent.whole and sent.status == 200 for sent in results)
        refused = sum(sent.whole and sent.status == 503 for sent in results)
        cut = len(results) - served - refused - len(lost)
        record.write(f"lost: {[sent.attempt for sent in lost]}")
        print(
            f"of {len(results)} requests {served} served, {refused} refused with 503, {len(lost)} "
            f"ended with a closed channel though no worker had got them, {cut} otherwise"
        )
        return bool(lost)
    finally:
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
