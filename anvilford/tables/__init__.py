"""Client of the platform's table, object store and VM list."""

from anvilford.tables._client import PlatformClient
from anvilford.tables._failures import BadPlatformResponse
from anvilford.tables._failures import PlatformFailure
from anvilford.tables._failures import PlatformTimeout
from anvilford.tables._failures import PlatformUnavailable
from anvilford.tables._failures import VersionConflict
from anvilford.tables._operations import NotWritten
from anvilford.tables._operations import OperationAccepted
from anvilford.tables._operations import OperationConflict
from anvilford.tables._operations import OperationFailure
from anvilford.tables._operations import Unresolved
from anvilford.tables._operations import write_with_operation_id
from anvilford.tables._records import Row
from anvilford.tables._records import VmList
from anvilford.tables._settings import PlatformSettings

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
    "write_with_operation_id",
]
