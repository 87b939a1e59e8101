"""Base class of all sections of the operator's file."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class SettingsSection(BaseModel):
    """An immutable section that rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)
