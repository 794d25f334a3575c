"""Load worker: an open-loop load generator process with one task per connection."""

from __future__ import annotations

import dataclasses
import itertools
import pathlib
import threading
import time
from typing import TYPE_CHECKING

import click
import urllib3

from bench import samples
from bench import workload
from goldcresthall.encoding import documents

if TYPE_CHECKING:
    from collections.abc import Iterator

MS_PER_S = 1_000
CALLER_TIMEOUT_S = 20.0
# Log offset stated in the idempotency keys as that of their issue: keys issued at the start of
# the log are remembered for longer than a run lasts.
KEY_ISSUE_OFFSET = 0
OUTCOME_HEADER = "Goldcresthall-Outcome"
VERDICT_BY_OUTCOME = {
    "answered": samples.Verdict.ANSWERED,
    "refused_not_run": samples.Verdict.REFUSED,
    "unknown": samples.Verdict.UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class SenderConfig:
    """Configuration of one load worker.

    Attributes
    ----------
    start_at_s
        Start of the run, by the monotonic clock of the machine.
    """

    start_at_s: float
    connections: int
    targets: tuple[str, ...]
    kinds: tuple[workload.RequestKind, ...]
    arrivals: tuple[workload.Arrival, ...]
    run_id: str


class ArrivalQueue:
    """Hands each arrival to the next free connection."""

    def __init__(self, arrivals: tuple[workload.Arrival, ...]) -> None:
        self._lock = threading.Lock()
        self._arrivals: Iterator[workload.Arrival] = iter(arrivals)

    def take(self) -> workload.Arrival | None:
        """Return the next arrival, or `None` if there are no more."""
        with self._lock:
            return next(self._arrivals, None)


class Connection:
    """Connection of one caller; after an error it connects to the next instance."""

    def __init__(self, number: int, config: SenderConfig) -> None:
        self._config = config
        targets = config.targets
        offset = number % len(targets)
        self._targets = itertools.cycle(targets[offset:] + targets[:offset])
        self._pool = self._connect_to_next()
        self.samples: list[samples.Sample] = []

    def run(self, queue: ArrivalQueue) -> None:
        """Send arrivals at their scheduled times until there are no more."""
        while (arrival := queue.take()) is not None:
            due_s = self._config.start_at_s + arrival.at_s
            time.sleep(max(0.0, due_s - time.monotonic()))
            self.samples.append(self._send(arrival, due_s))

    def _connect_to_next(self) -> urllib3.HTTPConnectionPool:
        return urllib3.connection_from_url(next(self._targets), maxsize=1, retries=False)

    def _send(self, arrival: workload.Arrival, due_s: float) -> samples.Sample:
        kind = self._config.kinds[arrival.kind]
        path = kind.path.replace("{key}", f"key-{arrival.key}")
        sent_late_s = time.monotonic() - due_s
        try:
            response = self._pool.request(
                kind.method,
                f"/{kind.service}{path}?work_ms={arrival.work_ms:.1f}",
                headers={
                    "Idempotency-Key": f"{KEY_ISSUE_OFFSET}.{self._config.run_id}-{arrival.number}"
                },
                timeout=CALLER_TIMEOUT_S,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            self._pool = self._connect_to_next()
            return _create_sample(
                arrival,
                due_s,
                sent_late_s,
                verdict=samples.Verdict.UNREACHED,
                reason=type(error).__name__,
            )
        headers = response.headers
        return _create_sample(
            arrival,
            due_s,
            sent_late_s,
            verdict=VERDICT_BY_OUTCOME.get(
                headers.get(OUTCOME_HEADER, ""), samples.Verdict.UNKNOWN
            ),
            reason=headers.get("Goldcresthall-Reason", ""),
            server=headers.get("Goldcresthall-Server", ""),
            tries=int(headers.get("Goldcresthall-Tries", "0")),
        )


def _create_sample(
    arrival: workload.Arrival,
    due_s: float,
    sent_late_s: float,
    *,
    verdict: samples.Verdict,
    reason: str,
    server: str = "",
    tries: int = 0,
) -> samples.Sample:
    return samples.Sample(
        number=arrival.number,
        at_s=arrival.at_s,
        latency_s=time.monotonic() - due_s,
        sent_late_s=sent_late_s,
        kind=arrival.kind,
        key=arrival.key,
        verdict=verdict,
        reason=reason,
        server=server,
        tries=tries,
    )


def send_all(config: SenderConfig) -> tuple[samples.Sample, ...]:
    """Send all arrivals of a worker and return their results."""
    queue = ArrivalQueue(config.arrivals)
    connections = [Connection(number, config) for number in range(config.connections)]
    threads = [threading.Thread(target=item.run, args=(queue,)) for item in connections]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return tuple(sample for item in connections for sample in item.samples)


@click.command()
@click.argument("config_file", type=click.Path(exists=True))
@click.argument("result_file", type=click.Path())
def main(config_file: str, result_file: str) -> None:
    """Send the arrivals in CONFIG_FILE and write the samples to RESULT_FILE."""
    text = pathlib.Path(config_file).read_bytes()
    sent = send_all(documents.decode_document(text, SenderConfig))
    pathlib.Path(result_file).write_text(documents.encode_document(samples.SampleFile(sent)))


if __name__ == "__main__":
    main()
