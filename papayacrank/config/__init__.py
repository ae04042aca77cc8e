"""Process settings, questionnaire, and the configuration generated from it."""

from ._configuration import (
    Assistant,
    Configuration,
    FailureDomain,
    Goals,
    PathRule,
    Service,
    ServiceKind,
    TargetAddress,
    Workspace,
    canonical_json,
    parse_configuration,
)
from ._diff import Change, diff_configurations
from ._loader import SettingsError, load_settings
from ._questionnaire import Questionnaire, generate_configuration
from ._settings import (
    ControlSettings,
    EntryLimits,
    EntrySettings,
    EntryTimings,
    PeerAddress,
)

__all__ = [
    "Assistant",
    "Change",
    "Configuration",
    "ControlSettings",
    "EntryLimits",
    "EntrySettings",
    "EntryTimings",
    "FailureDomain",
    "Goals",
    "PathRule",
    "PeerAddress",
    "Questionnaire",
    "Service",
    "ServiceKind",
    "SettingsError",
    "TargetAddress",
    "Workspace",
    "canonical_json",
    "diff_configurations",
    "generate_configuration",
    "load_settings",
    "parse_configuration",
]
