"""A load worker: a process with one task for each connection, fed open-loop."""

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
CALLER_PATIENCE_S = 20.0
# Keys issued at the log's start are remembered for longer than a run lasts.
KEY_OFFSET = 0
OUTCOME_HEADER = "Goldcresthall-Outcome"
VERDICTS = {
    "answered": samples.Verdict.ANSWERED,
    "refused_not_run": samples.Verdict.REFUSED,
    "unknown": samples.Verdict.UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class SenderConfig:
    """What one load worker is to send.

    Attributes
    ----------
    start_at_s
        Reading of the machine's monotonic clock at which the run starts.
    """

    start_at_s: float
    connections: int
    targets: tuple[str, ...]
    kinds: tuple[workload.RequestKind, ...]
    arrivals: tuple[workload.Arrival, ...]
    run_id: str


class ArrivalFeed:
    """Hands each arrival to the first connection that is free."""

    def __init__(self, arrivals: tuple[workload.Arrival, ...]) -> None:
        self._lock = threading.Lock()
        self._arrivals: Iterator[workload.Arrival] = iter(arrivals)

    def take(self) -> workload.Arrival | None:
        """Return the next arrival, or none if there are no more."""
        with self._lock:
            return next(self._arrivals, None)


class Connection:
    """One caller's connection; it goes to the next instance when its own is gone."""

    def __init__(self, number: int, config: SenderConfig) -> None:
        self._config = config
        targets = config.targets
        offset = number % len(targets)
        self._targets = itertools.cycle(targets[offset:] + targets[:offset])
        self._pool = self._open()
        self.samples: list[samples.Sample] = []

    def run(self, feed: ArrivalFeed) -> None:
        """Send arrivals when they are due until there are no more."""
        while (arrival := feed.take()) is not None:
            due_s = self._config.start_at_s + arrival.at_s
            time.sleep(max(0.0, due_s - time.monotonic()))
            self.samples.append(self._send(arrival, due_s))

    def _open(self) -> urllib3.HTTPConnectionPool:
        return urllib3.connection_from_url(next(self._targets), maxsize=1, retries=False)

    def _send(self, arrival: workload.Arrival, due_s: float) -> samples.Sample:
        kind = self._config.kinds[arrival.kind]
        path = kind.path.replace("{key}", f"key-{arrival.key}")
        sent_late_s = time.monotonic() - due_s
        try:
            response = self._pool.request(
                kind.method,
                f"/{kind.service}{path}?work_ms={arrival.work_ms:.1f}",
                headers={"Idempotency-Key": f"{KEY_OFFSET}.{self._config.run_id}-{arrival.number}"},
                timeout=CALLER_PATIENCE_S,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            self._pool = self._open()
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
            verdict=VERDICTS.get(headers.get(OUTCOME_HEADER, ""), samples.Verdict.UNKNOWN),
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
    """Send every arrival of a worker and return what became of them."""
    feed = ArrivalFeed(config.arrivals)
    connections = [Connection(number, config) for number in range(config.connections)]
    threads = [threading.Thread(target=item.run, args=(feed,)) for item in connections]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return tuple(sample for item in connections for sample in item.samples)


@click.command()
@click.argument("config_file", type=click.Path(exists=True))
@click.argument("result_file", type=click.Path())
def main(config_file: str, result_file: str) -> None:
    """Send what CONFIG_FILE lists and write the samples to RESULT_FILE."""
    text = pathlib.Path(config_file).read_bytes()
    sent = send_all(documents.decode_document(text, SenderConfig))
    pathlib.Path(result_file).write_text(documents.encode_document(samples.SampleFile(sent)))


if __name__ == "__main__":
    main()
