"""Logging as JSON lines."""

from __future__ import annotations

import json
import logging as standard_logging
import sys
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.observability import log_writer

if TYPE_CHECKING:
    from typing import TextIO

FLUSH_TIMEOUT_S = 0.5


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


class QueueHandler(standard_logging.Handler):
    """Queues the lines of a process, so that no task waits until they are written."""

    def __init__(self, writer: log_writer.LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Format a record and queue its line."""
        try:
            self._writer.put(self.format(record))
        except Exception:  # noqa: BLE001
            self.handleError(record)

    def flush(self) -> None:
        """Wait for the last lines at the end of the process, for a short time at most."""
        self._writer.flush(FLUSH_TIMEOUT_S)


def configure_logs(instance: str, stream: TextIO = sys.stderr) -> None:
    """Write all logs of this process as JSON lines, by default to standard error."""
    handler = QueueHandler(log_writer.find_writer(stream.fileno()))
    handler.setFormatter(JsonFormatter(instance))
    root = standard_logging.getLogger()
    root.handlers = [handler]
    # absl's own handler would write plain-text lines before flags are parsed.
    logging.get_absl_logger().handlers = []
    logging.set_verbosity(logging.INFO)
    standard_logging.getLogger("urllib3").setLevel(standard_logging.ERROR)


def log_server_error(
    msg: str = "", level: int = standard_logging.INFO, traceback: bool = False
) -> None:
    """Log an error of the HTTP library's server, which would write it to standard error itself."""
    standard_logging.getLogger(__name__).log(level, msg.strip(), exc_info=traceback)
