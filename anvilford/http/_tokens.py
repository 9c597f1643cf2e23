"""Authentication of callers and operators by bearer token."""

import hashlib
import hmac
from collections.abc import Sequence

from anvilford.settings import Principal


class TokenTable:
    """Finds the principal that a bearer token belongs to.

    Only digests of the tokens are kept.

    Args:
        principals: Names and tokens of all callers or operators.
    """

    def __init__(self, principals: Sequence[Principal]):
        self._digests = [(p.name, _digest(p.token)) for p in principals]

    def name_for(self, authorization: str | None) -> str | None:
        """Returns the name of the principal that sent a request.

        To prevent timing attacks, the time does not depend on how much of a
        token matches: the token's digest is compared with every known digest,
        each in constant time.

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
