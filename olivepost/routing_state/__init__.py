"""State that routing keeps between events. Only the router's owner changes it.

The package makes no decisions.
"""

from olivepost.routing_state.averages import DecayingRate, MovingAverage, MovingAverages
from olivepost.routing_state.endpoint import Ejection, Endpoint, Role
from olivepost.routing_state.endpoint_table import EndpointTable
from olivepost.routing_state.invalidation_table import InvalidationTable
from olivepost.routing_state.levels import ClassLevels, OverloadLevel
from olivepost.routing_state.name_table import ExpiringNameTable, NameEntry
from olivepost.routing_state.order_cache import OrderCache
from olivepost.routing_state.pending_request import (
    Attempt,
    ExecutedAttempt,
    HintWait,
    PendingRequest,
    PossibleFault,
    RankedName,
    SilenceCheck,
)
from olivepost.routing_state.quota_ledger import QuotaLedger, QuotaPart, QuotaShortage, QuotaTransfer
from olivepost.routing_state.route import Route, Selection
from olivepost.routing_state.routing_state import RoutingState, Tuning
from olivepost.routing_state.sliding_window import SlidingWindowSum
from olivepost.routing_state.timer_table import TimerCallback, TimerTable

__all__ = [
    "Attempt",
    "ClassLevels",
    "DecayingRate",
    "Ejection",
    "Endpoint",
    "EndpointTable",
    "ExecutedAttempt",
    "ExpiringNameTable",
    "HintWait",
    "InvalidationTable",
    "MovingAverage",
    "MovingAverages",
    "NameEntry",
    "OrderCache",
    "OverloadLevel",
    "PendingRequest",
    "PossibleFault",
    "QuotaLedger",
    "QuotaPart",
    "QuotaShortage",
    "QuotaTransfer",
    "RankedName",
    "Role",
    "Route",
    "RoutingState",
    "Selection",
    "SilenceCheck",
    "SlidingWindowSum",
    "TimerCallback",
    "TimerTable",
    "Tuning",
]
