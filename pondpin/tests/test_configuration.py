"""Configuration and settings files: all faults at once, with their paths."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pondpin.configuration import decode_configuration
from pondpin.errors import InvalidFileError
from pondpin.settings import read_settings
from pondpin.tests.support import sample_document
from pondpin.tools.traffic import SAMPLES


def faults_of(document: Any) -> list[str]:
    try:
        decode_configuration(json.dumps(document).encode(), "test")
    except InvalidFileError as error:
        return [str(fault) for fault in error.exceptions]
    return []


class ConfigurationFileTest(unittest.TestCase):
    def test_every_fault_is_told_with_its_path(self) -> None:
        document = sample_document(
            models={"rider": {"extra": 1}},
            upstreams={"e": {"kind": "engine", "address": "host:80", "data_center": "d"}},
            rules=[{"name": "r", "match": "a=", "upstreams": "", "allowed_seconds": 0}],
        )
        faults = faults_of(document)
        for path in (
            "models.rider.extra",
            "upstreams.e.address",
            "rules[0].match",
            "rules[0].allowed_seconds",
        ):
            self.assertTrue(any(fault.startswith(path) for fault in faults), (path, faults))

    def test_host_names_are_refused(self) -> None:
        upstream = {"kind": "engine", "address": "localhost:1", "data_center": "d", "model": "x"}
        faults = faults_of(sample_document(upstreams={"e": upstream}))
        self.assertIn("host names are refused", faults[0])

    def test_faults_between_the_parts(self) -> None:
        engine = {"kind": "engine", "address": "127.0.0.1:1", "data_center": "d", "model": "no"}
        document = sample_document(
            upstreams={"e": engine, "f": engine | {"model": "rider"}},
            classes=[{"name": "c", "match": ""}, {"name": "c", "match": ""}],
            objectives=[{"name": "o", "measure": "ttft", "length_class": "z", "target": 0.9}],
        )
        joined = "\n".join(faults_of(document))
        for part in ("unknown model 'no'", "stands twice", "unknown class 'z'"):
            self.assertIn(part, joined)

    def test_one_key_belongs_to_one_account(self) -> None:
        account = {"keys_sha256": ["0" * 64]}
        faults = faults_of(sample_document(upstreams={}, accounts={"a": account, "b": account}))
        self.assertEqual(len(faults), 1)

    def test_the_samples_are_sound(self) -> None:
        document = (SAMPLES / "fleet" / "configuration.json").read_bytes()
        self.assertEqual(len(decode_configuration(document, "sample").upstreams), 8)
        for path in sorted((SAMPLES / "fleet").glob("entry-*.json")):
            self.assertEqual(read_settings(str(path)).instance, path.stem)

    @given(st.binary(max_size=200))
    def test_any_bytes_are_refused_cleanly(self, document: bytes) -> None:
        with self.assertRaises(InvalidFileError):
            decode_configuration(document, "test")


class SettingsFileTest(unittest.TestCase):
    def read(self, **changes: Any) -> list[str]:
        document = json.loads((SAMPLES / "fleet" / "entry-a1.json").read_text()) | changes
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(json.dumps(document))
            try:
                read_settings(str(path))
            except InvalidFileError as error:
                return error.numbered().splitlines()
        return []

    def test_faults_are_numbered(self) -> None:
        lines = self.read(instance="No Capitals", shared_key="short", colour="red")
        self.assertEqual([line[:2] for line in lines], ["1.", "2.", "3."])

    def test_sound_settings(self) -> None:
        self.assertEqual(self.read(), [])
