"""python -m pondpin.soak.instance: a relaying instance whose links to the workers can be cut.

Like `pondpin.main` it imports nothing else before it ignores SIGHUP.
"""

import gc
import signal


def main() -> None:
    """Ignore SIGHUP, then load and run the instance."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    from pondpin.runtime import run_command
    from pondpin.soak.cuttable import instance

    run_command(instance, "pondpin-soak-instance")


if __name__ == "__main__":
    main()
