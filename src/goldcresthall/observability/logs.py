"""Logging as JSON lines."""

from __future__ import annotations

import json
import logging as standard_logging
import sys
from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from typing import TextIO


class JsonFormatter(standard_logging.Formatter):
    """Formats one log record as one line of JSON."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the record as JSON."""
        fields = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S") + f".{int(record.msecs):03d}",
            "level": record.levelname.lower(),
            "instance": self._instance,
            "task": record.threadName,
            "module": record.module,
            "message": record.getMessage(),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields)


def configure_logs(instance: str, stream: TextIO = sys.stderr) -> None:
    """Write all logs of this process as JSON lines, by default to standard error."""
    handler = standard_logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(instance))
    root = standard_logging.getLogger()
    root.handlers = [handler]
    # absl's own handler would write plain-text lines before flags are parsed.
    logging.get_absl_logger().handlers = []
    logging.set_verbosity(logging.INFO)
    standard_logging.getLogger("urllib3").setLevel(standard_logging.ERROR)
