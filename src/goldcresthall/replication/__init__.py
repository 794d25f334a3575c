"""Replay of the platform's log to a replicated state that is identical in every instance.

Importing the package registers the `apply` implementation of every record type.
"""

from __future__ import annotations

from goldcresthall.replication import cancellations as cancellations
from goldcresthall.replication import hot_keys as hot_keys
from goldcresthall.replication import intents as intents
from goldcresthall.replication import replay_snapshots as replay_snapshots
