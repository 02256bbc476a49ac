"""Command-line programs for operators and experimenters."""
