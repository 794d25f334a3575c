"""An instance list that tests set."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.platform import instance_list

if TYPE_CHECKING:
    from goldcresthall.core import identity


class FixedInstanceList(instance_list.InstanceList):
    """Shows the instances it was given."""

    def __init__(self, instances: tuple[identity.InstanceEntry, ...] = ()) -> None:
        self._listing = instance_list.InstanceListing(1, instances)

    @property
    def listing(self) -> instance_list.InstanceListing:
        """The instances given."""
        return self._listing

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""
