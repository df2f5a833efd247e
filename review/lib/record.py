"""The record of a run: what was sent, answered and run, in order."""

import time


class Record:
    """Writes lines with the time since the start to `record.txt`."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()
