"""Selectors: what they take, and where a fault in them is."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.selectors import SelectorError, parse_selector

LABELS = {"model": "rider", "prompt_tokens": "120000", "zone": "a b"}


class MatchTest(unittest.TestCase):
    def test_each_kind_of_term(self) -> None:
        cases = {
            "": True,
            "model=rider": True,
            "model=other": False,
            "model!=other": True,
            "missing!=x": True,
            "model in (rider, other)": True,
            "model notin (rider)": False,
            "model": True,
            "!model": False,
            "!missing": True,
            "prompt_tokens>100000": True,
            "prompt_tokens<=120000": True,
            "prompt_tokens<1e3": False,
            "model>5": False,
            "missing>5": False,
            'zone="a b"': True,
            "model=rider,prompt_tokens>100000,!missing": True,
            "model=rider,prompt_tokens<100000": False,
        }
        for text, expected in cases.items():
            with self.subTest(text):
                self.assertEqual(parse_selector(text).matches(LABELS), expected)

    def test_keys_that_begin_like_operators(self) -> None:
        self.assertTrue(parse_selector("instance=a").matches({"instance": "a"}))
        self.assertTrue(parse_selector("notinsured").matches({"notinsured": "x"}))

    def test_failing_terms_are_told(self) -> None:
        failing = parse_selector("model=rider,zone=c").failing_terms(LABELS)
        self.assertEqual(len(failing), 1)


class FaultTest(unittest.TestCase):
    def test_positions(self) -> None:
        for text, position in {"a=": 2, "a in (": 6, "a<b": 2, "=3": 0, "a,,b": 2, "a!": 1}.items():
            with self.subTest(text), self.assertRaises(SelectorError) as caught:
                parse_selector(text)
            self.assertEqual(caught.exception.position, position)

    def test_a_comparison_needs_a_number(self) -> None:
        with self.assertRaises(SelectorError):
            parse_selector("a<1x2")

    @given(st.text(max_size=40))
    def test_any_text_parses_or_is_refused_with_a_position(self, text: str) -> None:
        try:
            parse_selector(text).matches(LABELS)
        except SelectorError as error:
            self.assertLessEqual(0, error.position)
            self.assertLessEqual(error.position, len(text))
