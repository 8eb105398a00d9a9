"""Roles of a node."""

from enum import Enum


class Role(Enum):
    """Roles of a node; a node has all of them by default."""

    ENTRY = "entry"
    SCHEDULER = "scheduler"
    CONTROLLERS = "controllers"
