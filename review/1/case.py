"""Keys are taken away until none is left: does a request with one of them still run?"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import HOST, Deployment, Worker, run_case  # noqa: E402

KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
NEVER_A_KEY = "zzzzzzzzzzzzzzzzzzzz"
REVOKE_S = 5.0
GAP_S = 1.5


def configuration(version, keys):
    def route(name, kind, attempts):
        return {
            "name": name, "host": HOST, "pathPrefix": f"/{name}/", "routeType": kind,
            "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2, "service": "wuno96b",
            "maxAttempts": attempts, "public": False,
        }  # fmt: skip

    return {
        "version": version,
        "routes": [route("status", "unsafe", 1), route("receipt", "safe", 2)],
        "services": [
            {"name": "wuno96b", "healthPath": "/healthz", "maxConns": 51, "protocol": "h1",
             "tls": False}
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": keys, "priority": 1}],
    }  # fmt: skip


async def play(folder, trouble):
    deployment = Deployment(folder)
    record = deployment.record
    try:
        await deployment.start()
        deployment.store.put("op/config", configuration(7, KEYS))
        workers = [Worker(record, f"i-7f3a91c{number}", "wuno96b") for number in range(3)]
        for worker in workers:
            await deployment.add_worker(worker)
        await deployment.start_instances()

        async def send(key, note):
            jobs = []
            for address in deployment.callers:
                for method, path in (("POST", "/status/2f"), ("GET", "/receipt/2f")):
                    jobs.append(deployment.client.send(address, method, path, key, note=note))
            return await asyncio.gather(*jobs)

        for key in KEYS:
            for sent in await send(key, "with a key that is in force"):
                if sent.status != 200:
                    raise RuntimeError(f"a request with a key got {sent.status}")
        unknown = await send(NEVER_A_KEY, "with a key that never was one")
        gone_at = {}
        if trouble:
            for number, key in enumerate(KEYS):
                left = KEYS[number + 1 :]
                gone_at[key] = deployment.store.put(
                    "op/config", configuration(9 + 2 * number, left)
                )
                await asyncio.sleep(GAP_S)
        # Sent later than revokeMs after the last acknowledgement, with a second to spare.
        await asyncio.sleep(REVOKE_S + 1.0)
        late = []
        for _ in range(10):
            for key in KEYS:
                late += [(key, sent) for sent in await send(key, "with a key of the start")]
            unknown += await send(NEVER_A_KEY, "with a key that never was one")
            await asyncio.sleep(0.2)
        runs = {attempt for worker in workers for attempt, _, _ in worker.runs}
        revoked = [
            sent for key, sent in late
            if key in gone_at and sent.at > gone_at[key] + REVOKE_S and sent.attempt in runs
        ]  # fmt: skip
        never = [sent for sent in unknown if sent.attempt in runs]
        record.write(
            f"of {len(late)} late requests {len(revoked)} ran with a key that was taken away over "
            f"{REVOKE_S} s before; of {len(unknown)} with a key that never was one {len(never)} ran"
        )
        print(f"CONFIG (strictRevocation): {len(revoked)} of {len(late)} ran with a revoked key")
        print(f"ROUTE: {len(never)} of {len(unknown)} ran with a key that never was one")
        if not trouble and any(sent.status != 200 for _, sent in late):
            raise RuntimeError("a request with a key in force was not served")
        return bool(revoked or never)
    finally:
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
