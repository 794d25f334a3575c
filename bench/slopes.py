"""File of measured per-unit costs (slopes) from which the capacity page is computed."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """One measured value and its unit."""

    name: str
    value: float
    unit: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlopeFile:
    """Measured values of one run and the command that produced them."""

    command: str
    figures: tuple[Metric, ...]

    def find(self, name: str) -> float:
        """Return a measured value by its name.

        Raises
        ------
        StopIteration
            If there is no value of that name.
        """
        return next(measured.value for measured in self.figures if measured.name == name)
