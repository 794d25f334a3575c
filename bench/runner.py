"""Runs an experiment with the same arrivals under each policy and measures the results."""

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
WORKER_TIMEOUT_S = 120.0


class LoadWorkerError(Exception):
    """A load worker failed or timed out, so that its samples are missing."""


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyResult:
    """Measures of one policy over the whole run and in the time window of the experiment.

    Attributes
    ----------
    router_processor_s
        Processor seconds of all router instances that ran until the end.
    router_resident_mib
        Largest resident memory of any router instance at the end, in MiB.
    """

    policy: str
    whole: measures.Measures
    window: measures.Measures
    router_processor_s: float
    router_resident_mib: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExperimentResult:
    """Results of one experiment under each compared policy.

    Attributes
    ----------
    load_average_before
        Load average of the machine over one minute before the run.
    """

    experiment: experiments.Experiment
    seed: int
    load_average_before: float
    results: tuple[PolicyResult, ...]


def run_experiment(
    experiment: experiments.Experiment,
    compared_policies: tuple[policies.Policy, ...],
    seed: int,
    report: Callable[[str], None],
) -> ExperimentResult:
    """Run an experiment under each policy in sequence.

    Raises
    ------
    LoadWorkerError
        If a load worker failed or timed out.
    """
    load_average = os.getloadavg()[0]
    arrivals = workload.draw_arrivals(experiment.workload, seed)
    results = []
    for policy in compared_policies:
        report(f"{experiment.user} {experiment.name}: {policy.name}, {len(arrivals)} requests")
        results.append(_run_policy(experiment, policy, arrivals, seed))
    return ExperimentResult(experiment, seed, round(load_average, 2), tuple(results))


def _run_policy(
    experiment: experiments.Experiment,
    policy: policies.Policy,
    arrivals: tuple[workload.Arrival, ...],
    seed: int,
) -> PolicyResult:
    is_product = policies.uses_published_preset(policy)
    scaled = users.scale_preset(
        experiment.user, experiment.preset_kind, experiment.divisor, checks_grants=is_product
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        count = experiment.router_count
        isolated_servers = steps.list_paused_servers(experiment.steps)
        with system.run_system(
            folder, scaled, policy, router_count=count, seed=seed, isolated_servers=isolated_servers
        ) as running:
            before = [processes.read_usage(process_id) for process_id in running.router_process_ids]
            collected = _send_load(experiment, running, arrivals, folder)
            after = [processes.read_usage(process_id) for process_id in running.router_process_ids]
    processor_s = sum(usage.processor_s for usage in after) - sum(
        usage.processor_s for usage in before[: len(after)]
    )
    return PolicyResult(
        policy=policy.name,
        whole=_measure_window(experiment, scaled, collected, _create_full_window(experiment)),
        window=_measure_window(experiment, scaled, collected, experiment.window),
        router_processor_s=round(processor_s, 2),
        router_resident_mib=max(usage.resident_mib for usage in after),
    )


def _send_load(
    experiment: experiments.Experiment,
    running: system.RunningSystem,
    arrivals: tuple[workload.Arrival, ...],
    folder: pathlib.Path,
) -> tuple[samples.Sample, ...]:
    start_at_s = time.monotonic() + START_DELAY_S
    step_thread = threading.Thread(
        target=_perform_steps, args=(experiment.steps, running, start_at_s), daemon=True
    )
    step_thread.start()
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
    collected = tuple(sample for worker in workers for sample in collect_samples(*worker))
    step_thread.join()
    return collected


def _perform_steps(
    fault_steps: tuple[steps.Step, ...], running: system.RunningSystem, start_at_s: float
) -> None:
    for step in fault_steps:
        time.sleep(max(0.0, start_at_s + step.at_s - time.monotonic()))
        steps.perform_step(step, running)


def start_worker(
    config: sender.SenderConfig, folder: pathlib.Path, number: int
) -> tuple[subprocess.Popen[bytes], pathlib.Path]:
    """Start a load worker and return its process and the path of its result file."""
    config_file = folder / f"worker-{number}.json"
    result_file = folder / f"samples-{number}.json"
    config_file.write_text(documents.encode_document(config))
    search_path = os.pathsep.join(path for path in sys.path if path)
    process = subprocess.Popen(
        (sys.executable, "-m", "bench.sender", str(config_file), str(result_file)),
        env=os.environ | {"PYTHONPATH": search_path},
    )
    return process, result_file


def collect_samples(
    process: subprocess.Popen[bytes], result_file: pathlib.Path
) -> tuple[samples.Sample, ...]:
    """Wait for a load worker to exit and return its samples.

    Raises
    ------
    LoadWorkerError
        If the worker failed or timed out.
    """
    try:
        code = process.wait(WORKER_TIMEOUT_S)
    except subprocess.TimeoutExpired as error:
        process.kill()
        raise LoadWorkerError("timeout") from error
    if code != 0:
        raise LoadWorkerError(f"load worker failed with exit code {code}")
    return documents.decode_document(result_file.read_bytes(), samples.SampleFile).samples


def _create_full_window(experiment: experiments.Experiment) -> experiments.Window:
    return experiments.Window(0.0, experiment.workload.duration_s)


def _measure_window(
    experiment: experiments.Experiment,
    scaled: users.ScaledPreset,
    collected: tuple[samples.Sample, ...],
    window: experiments.Window,
) -> measures.Measures:
    inside = tuple(sample for sample in collected if window.begin_s <= sample.at_s < window.end_s)
    return measures.measure(
        inside,
        experiment.workload.kinds,
        scaled.preset.services,
        window.end_s - window.begin_s,
    )
