"""Entry daemon on the platform.

Connects the decision logic of the packages `leadership`, `placement` and
`routing` to the network, on one event loop.
"""

from anvilford.node._main import main

__all__ = ["main"]
