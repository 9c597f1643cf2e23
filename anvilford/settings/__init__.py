"""JSON settings file of a daemon: validation and typed `Settings`."""

from anvilford.settings._failures import describe_failure
from anvilford.settings._failures import DuplicateKey
from anvilford.settings._failures import InvalidCombination
from anvilford.settings._failures import InvalidValue
from anvilford.settings._failures import MissingKey
from anvilford.settings._failures import SettingsFailure
from anvilford.settings._failures import UnknownKey
from anvilford.settings._failures import UnreadableFile
from anvilford.settings._load import load_settings
from anvilford.settings._load import parse_settings
from anvilford.settings._page import render_settings_page
from anvilford.settings._schema import load_schema
from anvilford.settings._schema import parse_address
from anvilford.settings._settings import DrainSettings
from anvilford.settings._settings import HttpSettings
from anvilford.settings._settings import JobLimitSettings
from anvilford.settings._settings import ListenSettings
from anvilford.settings._settings import LogSettings
from anvilford.settings._settings import PeerSettings
from anvilford.settings._settings import PlatformSettings
from anvilford.settings._settings import Principal
from anvilford.settings._settings import RetentionSettings
from anvilford.settings._settings import Settings
from anvilford.settings._settings import TargetSettings
from anvilford.settings._settings import TraceSettings
from anvilford.settings._settings import VmSettings

__all__ = [
    "DrainSettings",
    "DuplicateKey",
    "HttpSettings",
    "InvalidCombination",
    "InvalidValue",
    "JobLimitSettings",
    "ListenSettings",
    "LogSettings",
    "MissingKey",
    "PeerSettings",
    "PlatformSettings",
    "Principal",
    "RetentionSettings",
    "Settings",
    "SettingsFailure",
    "TargetSettings",
    "TraceSettings",
    "UnknownKey",
    "UnreadableFile",
    "VmSettings",
    "describe_failure",
    "load_schema",
    "load_settings",
    "parse_address",
    "parse_settings",
    "render_settings_page",
]
