"""What an operator's file may hold: one typed section a subsystem."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field

from olivepost.shared_store.settings import SharedStoreSettings


class OperatorSettings(BaseModel):
    """The whole file; a section that is left out is off."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    sharing: SharedStoreSettings | None = Field(
        default=None, description="what fronts of one branch tell each other through shared stores"
    )
