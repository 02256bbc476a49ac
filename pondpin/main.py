"""pondpin-entry: its entry point, which imports little so that signals find it prepared."""

import gc
import signal


def main() -> None:
    """Entry point of pondpin-entry.

    A hang-up signal means that settings changed. One that comes while the program still loads
    must not end it: the settings are read after this.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # What is loaded now stays: looking through it for garbage takes some 30 ms at each full
    # collection later, and nothing once it is set aside (`gc.collect` timed after loading).
    gc.disable()
    from pondpin.launch import PROGRAM, entry
    from pondpin.runtime import run_command

    run_command(entry, PROGRAM)


if __name__ == "__main__":
    main()
