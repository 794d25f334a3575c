"""Reading of the settings file that the platform provides."""

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
    """Read the platform's settings file, by default at the path in its environment variable.

    Raises
    ------
    InvalidDocumentError
        If there is no path, or the file cannot be read or has faults.
    """
    settings_path = path or os.environ.get(platform_names.SETTINGS_VARIABLE)
    if not settings_path:
        raise exceptions.InvalidDocumentError("no settings file was given")
    try:
        return platform_settings.read_settings(settings_path)
    except platform_exceptions.InvalidSettingsError as error:
        raise exceptions.InvalidDocumentError(str(error)) from error
