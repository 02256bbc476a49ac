"""Pages and schemas that follow from the code are as committed."""

import unittest

from pondpin.codes import INFO_BY_CODE, Code
from pondpin.tools.reference import DOCS, PAGES


class ReferenceTest(unittest.TestCase):
    def test_pages_are_as_the_code_says(self) -> None:
        for name, make in PAGES.items():
            with self.subTest(name):
                self.assertEqual((DOCS / name).read_text(), make())

    def test_every_code_is_described(self) -> None:
        self.assertEqual(set(Code), set(INFO_BY_CODE))
