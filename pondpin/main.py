"""Entry point of pondpin-entry; imports little, so that SIGHUP is ignored early."""

import gc
import signal


def main() -> None:
    """Ignore SIGHUP, then load and run the program.

    SIGHUP means that the settings changed. While the program loads it may not end it: the settings
    are read afterwards.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Loaded objects stay alive: freezing them after loading saves some 30 ms in each later full
    # collection (`gc.collect` timed after loading).
    gc.disable()
    from pondpin.launch import PROGRAM, entry
    from pondpin.runtime import run_command

    run_command(entry, PROGRAM)


if __name__ == "__main__":
    main()
