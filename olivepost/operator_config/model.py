"""The operator's file as a type: one optional section for each subsystem."""

from __future__ import annotations

from pydantic import Field

from olivepost.operator_config.section import SettingsSection
from olivepost.shared_store.settings import SharedStoreSettings


class OperatorSettings(SettingsSection):
    """The whole file; a subsystem without a section is off."""

    sharing: SharedStoreSettings | None = Field(
        default=None, description="what proxies of one branch share through stores of the Redis kind"
    )
