"""Clients of the platform's table, object store and VM list."""

from anvilford.platform._client import PlatformClient
from anvilford.platform._failures import BadPlatformResponse
from anvilford.platform._failures import PlatformFailure
from anvilford.platform._failures import PlatformTimeout
from anvilford.platform._failures import PlatformUnavailable
from anvilford.platform._failures import VersionConflict
from anvilford.platform._operations import NotWritten
from anvilford.platform._operations import OperationAccepted
from anvilford.platform._operations import OperationConflict
from anvilford.platform._operations import OperationFailure
from anvilford.platform._operations import Unresolved
from anvilford.platform._operations import write_with_operation
from anvilford.platform._records import Row
from anvilford.platform._records import VmList
from anvilford.platform._settings import PlatformSettings

__all__ = [
    "BadPlatformResponse",
    "NotWritten",
    "OperationAccepted",
    "OperationConflict",
    "OperationFailure",
    "PlatformClient",
    "PlatformFailure",
    "PlatformSettings",
    "PlatformTimeout",
    "PlatformUnavailable",
    "Row",
    "Unresolved",
    "VersionConflict",
    "VmList",
    "write_with_operation",
]
