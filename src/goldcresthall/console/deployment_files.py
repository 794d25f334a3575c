"""Reading of the settings file that the platform places."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from goldcresthall.console import exceptions
from goldcresthall.platform import exceptions as platform_exceptions
from goldcresthall.platform import names as platform_names
from goldcresthall.platform import settings as platform_settings

if TYPE_CHECKING:
    from goldcresthall.core import deployment_settings


def read_deployment_settings(
    path: str | None,
) -> deployment_settings.DeploymentSettings:
    """Read the settings that the platform places, by default where its variable says.

    Raises
    ------
    InvalidDocumentError
        If they have faults.
    """
    found = path or os.environ.get(platform_names.SETTINGS_VARIABLE)
    if not found:
        raise exceptions.InvalidDocumentError("no settings file was named")
    try:
        return platform_settings.read_settings(found)
    except platform_exceptions.InvalidSettingsError as error:
        raise exceptions.InvalidDocumentError(str(error)) from error
