"""Runs an experiment under each policy with the same arrivals, and measures it."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
from typing import TYPE_CHECKING

from bench import experiments
from bench import measures
from bench import policies
from bench import processes
from bench import samples
from bench import sender
from bench import steps
from bench import system
from bench import users
from bench import workload
from goldcresthall.encoding import documents

if TYPE_CHECKING:
    from collections.abc import Callable

START_DELAY_S = 2.0
WORKER_PATIENCE_S = 120.0


class LoadWorkerError(Exception):
    """A load worker did not end well, so that its samples are missing."""


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyResult:
    """What one policy gave over the whole run and in the experiment's window.

    Attributes
    ----------
    router_processor_s
        Processor seconds of all router instances that lived to the end.
    router_resident_mib
        Largest resident memory of a router instance at the end.
    """

    policy: str
    whole: measures.Measures
    window: measures.Measures
    router_processor_s: float
    router_resident_mib: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExperimentResult:
    """One run of one experiment under all policies."""

    experiment: experiments.Experiment
    seed: int
    load_average_before: float
    results: tuple[PolicyResult, ...]


def run_experiment(
    experiment: experiments.Experiment,
    compared: tuple[policies.Policy, ...],
    seed: int,
    report: Callable[[str], None],
) -> ExperimentResult:
    """Run an experiment under each of the policies, one after the other.

    Raises
    ------
    LoadWorkerError
        If a load worker failed.
    """
    load_average = os.getloadavg()[0]
    arrivals = workload.draw_arrivals(experiment.workload, seed)
    results = []
    for policy in compared:
        report(f"{experiment.user} {experiment.name}: {policy.name}, {len(arrivals)} requests")
        results.append(_run_policy(experiment, policy, arrivals, seed))
    return ExperimentResult(experiment, seed, round(load_average, 2), tuple(results))


def _run_policy(
    experiment: experiments.Experiment,
    policy: policies.Policy,
    arrivals: tuple[workload.Arrival, ...],
    seed: int,
) -> PolicyResult:
    is_product = policies.needs_publication(policy)
    scaled = users.scale_preset(
        experiment.user, experiment.preset_kind, experiment.divisor, checks_grants=is_product
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        count = experiment.router_count
        alone = steps.list_frozen(experiment.steps)
        with system.run_system(
            folder, scaled, policy, router_count=count, seed=seed, alone=alone
        ) as running:
            before = [processes.read_usage(number) for number in running.router_process_ids]
            taken = _send(experiment, running, arrivals, folder)
            after = [processes.read_usage(number) for number in running.router_process_ids]
    used_s = sum(usage.processor_s for usage in after) - sum(
        usage.processor_s for usage in before[: len(after)]
    )
    return PolicyResult(
        policy=policy.name,
        whole=_measure_window(experiment, scaled, taken, _whole(experiment)),
        window=_measure_window(experiment, scaled, taken, experiment.window),
        router_processor_s=round(used_s, 2),
        router_resident_mib=max(usage.resident_mib for usage in after),
    )


def _send(
    experiment: experiments.Experiment,
    running: system.RunningSystem,
    arrivals: tuple[workload.Arrival, ...],
    folder: pathlib.Path,
) -> tuple[samples.Sample, ...]:
    start_at_s = time.monotonic() + START_DELAY_S
    happenings = threading.Thread(
        target=_perform_steps, args=(experiment.steps, running, start_at_s), daemon=True
    )
    happenings.start()
    workers = []
    for number in range(experiment.workers):
        config = sender.SenderConfig(
            start_at_s=start_at_s,
            connections=experiment.connections_per_worker,
            targets=running.caller_urls,
            kinds=experiment.workload.kinds,
            arrivals=arrivals[number :: experiment.workers],
            run_id=f"{folder.name}-{number}",
        )
        workers.append(start_worker(config, folder, number))
    taken = tuple(sample for worker in workers for sample in collect(*worker))
    happenings.join()
    return taken


def _perform_steps(
    happenings: tuple[steps.Step, ...], running: system.RunningSystem, start_at_s: float
) -> None:
    for step in happenings:
        time.sleep(max(0.0, start_at_s + step.at_s - time.monotonic()))
        steps.perform(step, running)


def start_worker(
    config: sender.SenderConfig, folder: pathlib.Path, number: int
) -> tuple[subprocess.Popen[bytes], pathlib.Path]:
    """Start a load worker and return it with the file its samples will be in."""
    config_file = folder / f"worker-{number}.json"
    result_file = folder / f"samples-{number}.json"
    config_file.write_text(documents.encode_document(config))
    search_path = os.pathsep.join(path for path in sys.path if path)
    process = subprocess.Popen(
        (sys.executable, "-m", "bench.sender", str(config_file), str(result_file)),
        env=os.environ | {"PYTHONPATH": search_path},
    )
    return process, result_file


def collect(
    process: subprocess.Popen[bytes], result_file: pathlib.Path
) -> tuple[samples.Sample, ...]:
    """Wait for a load worker and return its samples.

    Raises
    ------
    LoadWorkerError
        If it failed or took too long.
    """
    try:
        code = process.wait(WORKER_PATIENCE_S)
    except subprocess.TimeoutExpired as error:
        process.kill()
        raise LoadWorkerError("timeout") from error
    if code != 0:
        raise LoadWorkerError(f"exit code {code}")
    return documents.decode_document(result_file.read_bytes(), samples.SampleFile).samples


def _whole(experiment: experiments.Experiment) -> experiments.Window:
    return experiments.Window(0.0, experiment.workload.duration_s)


def _measure_window(
    experiment: experiments.Experiment,
    scaled: users.Scaled,
    taken: tuple[samples.Sample, ...],
    window: experiments.Window,
) -> measures.Measures:
    inside = tuple(sample for sample in taken if window.begin_s <= sample.at_s < window.end_s)
    return measures.measure(
        inside,
        experiment.workload.kinds,
        scaled.preset.services,
        window.end_s - window.begin_s,
    )
