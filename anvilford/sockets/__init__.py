"""Options of TCP sockets that several interfaces need."""

from anvilford.sockets._peer_loss import set_peer_loss_timeout

__all__ = ["set_peer_loss_timeout"]
