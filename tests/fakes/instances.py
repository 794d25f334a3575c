"""An instance list whose content the test sets."""

from __future__ import annotations

from goldcresthall.core import identity
from goldcresthall.log_service import instance_list

ADDRESS = identity.Address("127.0.0.1", 1)


class SettableInstanceList(instance_list.InstanceList):
    """Returns the entries that the test set last."""

    def __init__(self) -> None:
        self._listing = instance_list.InstanceListing(0, ())

    @property
    def listing(self) -> instance_list.InstanceListing:
        """The list that the test set last."""
        return self._listing

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def list_routers(self, count: int) -> None:
        """Set the list to `count` live router instances."""
        self._list(
            *(
                identity.InstanceEntry(
                    f"router-{number}", "domain-1", ADDRESS, identity.InstanceStatus.LIVE
                )
                for number in range(count)
            )
        )

    def list_leaving_server(self, name: str) -> None:
        """Set the list to one leaving backend server."""
        self._list(
            identity.InstanceEntry(
                name,
                "domain-1",
                ADDRESS,
                identity.InstanceStatus.LEAVING,
                identity.InstanceRole.BACKEND_SERVER,
            )
        )

    def _list(self, *entries: identity.InstanceEntry) -> None:
        self._listing = instance_list.InstanceListing(self._listing.revision + 1, entries)
