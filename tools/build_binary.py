"""Builds a single executable file (zipapp) that runs without unpacking files or child processes."""

from __future__ import annotations

import importlib.metadata
import pathlib
import shutil
import sys
import tempfile
import zipapp

RUNTIME_DISTRIBUTIONS = (
    "absl-py",
    "cheroot",
    "click",
    "h11",
    "jaraco.functools",
    "more-itertools",
    "prometheus_client",
    "pyrsistent",
    "six",
    "thrift",
    "typing_extensions",
    "urllib3",
)
ENTRY_POINT = "goldcresthall.console.application:main"
INTERPRETER = "/usr/bin/env python3.11"
SKIPPED_SUFFIXES = {".so", ".pyc", ".pyi"}


def copy_distribution(name: str, target: pathlib.Path) -> None:
    """Copy the files of an installed distribution into `target`.

    Compiled extensions, bytecode, type stubs and files outside site-packages are left out.
    """
    for entry in importlib.metadata.files(name) or ():
        if ".." in entry.parts or entry.suffix in SKIPPED_SUFFIXES:
            continue
        destination = target / str(entry)
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(entry.locate()), destination)


def build(output: pathlib.Path) -> None:
    """Build the executable file at `output`."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        target = pathlib.Path(folder)
        for name in RUNTIME_DISTRIBUTIONS:
            copy_distribution(name, target)
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree("src/goldcresthall", target / "goldcresthall", ignore=ignored)
        zipapp.create_archive(target, output, INTERPRETER, ENTRY_POINT, compressed=True)


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]))
