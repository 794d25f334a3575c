"""An instance list that tests set."""

from __future__ import annotations

from goldcresthall.platform import instance_list


class FixedInstanceList(instance_list.InstanceList):
    """Lists no instances."""

    @property
    def listing(self) -> instance_list.InstanceListing:
        """An empty list."""
        return instance_list.InstanceListing(0, ())

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""
