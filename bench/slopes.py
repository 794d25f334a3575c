"""Measured slopes as a file that the capacity page is computed from."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure."""

    name: str
    value: float
    unit: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlopeFile:
    """The figures of one run and the command that gave them."""

    command: str
    figures: tuple[Figure, ...]

    def find(self, name: str) -> float:
        """Return a figure's value.

        Raises
        ------
        StopIteration
            If there is no such figure.
        """
        return next(figure.value for figure in self.figures if figure.name == name)
