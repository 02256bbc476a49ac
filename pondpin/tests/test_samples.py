"""The sample caller works against a deployment."""

import asyncio
import runpy
from typing import Any

from pondpin.standins.local_fleet import key_hash
from pondpin.tests.support import FleetCase, sample_document, sample_spec
from pondpin.tools.traffic import SAMPLES


class OnceCallerTest(FleetCase):
    def test_the_sample_caller_unlocks_once(self) -> None:
        async def test() -> None:
            sample: dict[str, Any] = runpy.run_path(str(SAMPLES / "once_caller.py"))
            addresses = list(self.callers.values())
            loop = asyncio.get_running_loop()
            service = self.fleet.services_by_name["dock-1"]
            outcome = await loop.run_in_executor(None, sample["unlock"], addresses)
            self.assertEqual((outcome, service.times_by_call["bike-2214"]), ("ran", 1))
            await service.stop()
            outcome = await loop.run_in_executor(None, sample["unlock"], addresses)
            self.assertEqual((outcome, service.times_by_call["bike-2214"]), ("not run", 1))

        accounts = {"padyak": {"keys_sha256": [key_hash("padyak-demo-key")]}}
        spec = sample_spec(document=sample_document(accounts=accounts))
        self.drive(test, spec)
