"""Model of the operator's configuration file, which has one optional section for each subsystem."""

from __future__ import annotations

from pydantic import Field

from olivepost.operator_config.section import SettingsSection
from olivepost.shared_store.settings import SharedStoreSettings


class OperatorSettings(SettingsSection):
    """The whole operator's file; a subsystem without a section is disabled."""

    sharing: SharedStoreSettings | None = Field(
        default=None, description="state that the proxies of one branch share through Redis-compatible stores"
    )
