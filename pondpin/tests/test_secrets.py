"""No prompt, key or token is ever written to a log, a metric or a record."""

import io
import logging as std_logging

import msgspec
from absl import logging

from pondpin.tests.support import KEY, OTHER_KEY, FleetCase, question
from pondpin.tools.operator_client import OperatorClient

SECRET = "my-secret-prompt-about-a-mortgage"


class SecretsTest(FleetCase):
    def test_nothing_secret_is_told(self) -> None:
        async def test() -> None:
            stream = io.StringIO()
            handler = std_logging.StreamHandler(stream)
            logger = logging.get_absl_logger()
            logger.addHandler(handler)
            before = logging.get_verbosity()
            logging.set_verbosity(logging.DEBUG)
            try:
                token = await self.use_everything()
            finally:
                logging.set_verbosity(before)
                logger.removeHandler(handler)
            told = stream.getvalue()
            for running in self.fleet.entries_by_name.values():
                client = OperatorClient(self.client)
                for path in ("/metrics", "/v1/explain?limit=20", "/v1/status", "/v1/upstreams"):
                    told += (await client.get(running.operators, path)).decode()
            for secret in (SECRET, KEY, OTHER_KEY, token, token.rpartition(".")[2]):
                self.assertNotIn(secret, told)
            self.assertIn("pondpin_requests_total", told)

        self.drive(test)

    async def use_everything(self) -> str:
        """Good and bad calls of all kinds; returns a token that was used."""
        await self.caller.ask(question(SECRET))
        await self.caller.ask(question(SECRET, key="wrong"))
        await self.caller.ask(question(SECRET, model="none"))
        self.fleet.engines_by_name["e1"].die()
        for number in range(4):
            await self.caller.ask(question(f"{SECRET} {number}"))
        token = (await self.once.fetch_tokens(KEY, 1))[0]
        for entry in ("a1", "b1"):
            await self.client.call(
                "POST",
                f"http://{self.callers[entry]}/v1/services/dock/x",
                {"authorization": f"Bearer {KEY}", "pondpin-token": token},
                msgspec.json.encode({"call": SECRET}),
            )
        return token
