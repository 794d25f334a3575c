"""What an instance knows of the load of servers, as it reports it to the lessor."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.gateway import estimates
from goldcresthall.kernel import names
from goldcresthall.load import work_model

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.kernel import kernel


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSources:
    """The services of one instance that observe backend servers."""

    estimates: estimates.Estimates
    model: work_model.WorkModel

    @classmethod
    def find(cls, service_kernel: kernel.Kernel) -> LoadSources:
        """Return the services that are registered in a kernel."""
        return cls(
            service_kernel.find(names.ESTIMATES, estimates.Estimates),
            service_kernel.find(names.WORK_MODEL, work_model.WorkModel),
        )

    def retain(self, incarnations: frozenset[deployment.ServerIncarnation]) -> None:
        """Discard what is known of all other servers."""
        self.estimates.retain(incarnations)
        self.model.retain(incarnations)
