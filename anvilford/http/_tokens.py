"""Bearer tokens of callers and operators."""

import hashlib
import hmac
from collections.abc import Sequence

from anvilford.settings import Principal


class TokenTable:
    """Finds who presents a bearer token.

    Args:
        principals: Names and tokens.
    """

    def __init__(self, principals: Sequence[Principal]):
        self._digests = [(p.name, _digest(p.token)) for p in principals]

    def name_for(self, authorization: str | None) -> str | None:
        """Returns the name that a request's token belongs to.

        The time does not depend on how much of a token matches: digests of
        equal length are compared, each in constant time, and all of them.

        Args:
            authorization: Value of the Authorization header, if present.

        Returns:
            The name, or None if there is no valid token.
        """
        scheme, _, token = (authorization or "").partition(" ")
        presented = _digest(token.strip())
        found = None
        for name, expected in self._digests:
            if hmac.compare_digest(presented, expected):
                found = name
        return found if scheme.lower() == "bearer" else None


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).digest()
