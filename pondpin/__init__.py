"""pondpin: a serving layer between callers and language-model engines."""

__version__ = "0.1.0"
