"""Settings of the membership and the failure detector."""

from typing import Annotated

from pydantic import Field

from ..util.config_model import ConfigModel, Seconds


class MembershipSettings(ConfigModel):
    """Intervals of heartbeats and platform polls."""

    heartbeat_interval_s: Seconds = 0.5
    """Interval between a node's heartbeats."""
    suspect_after_s: Seconds = 1.5
    """A peer without a heartbeat for this long is suspected and assigned no new shards."""
    forget_after_s: Seconds = 30.0
    """A peer that stays suspected for this long is removed from the membership."""
    instance_poll_s: Seconds = 1.0
    """Interval between reads of the platform's instance list."""
    table_poll_s: Seconds = 2.0
    """Interval between reads of the platform's table."""
    pause_limit_s: Seconds = 5.0
    """A node paused for longer than this confirms its peers again.

    A node run by `serve` also confirms its configuration again, and admits no requests while its
    configuration was last confirmed longer ago than this.
    """
    full_mesh_nodes: Annotated[int, Field(ge=2)] = 16
    """Up to this group size, each node sends its heartbeats to all others."""
    fanout: Annotated[int, Field(ge=2)] = 3
    """Peers that receive each heartbeat in a larger group: ring neighbours and one partner in
    turn."""
    change_states: Annotated[int, Field(ge=1)] = 24
    """Maximum number of recent changes in one heartbeat."""
    rotation_states: Annotated[int, Field(ge=1)] = 2
    """Maximum number of unchanged peers in one heartbeat, taken in rotation."""
