"""Checks all specifications; the exit status is 1 when any check fails."""

import sys

from spec.checks import check_all


def main() -> int:
    """Run all checks and print what each found."""
    failed = 0
    for verdict in check_all():
        print(("ok    " if verdict.good else "FAIL  ") + verdict.about)
        for step in verdict.trace:
            print(f"          {step}")
        failed += not verdict.good
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
