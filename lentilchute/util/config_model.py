"""Base of the models for settings and documents, and the types of values that they share."""

from typing import Annotated, NamedTuple

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Seconds = Annotated[float, Field(gt=0, le=604_800)]
Address = Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$")]


class CrossFieldProblem(NamedTuple):
    """A conflict between individually valid values, with the path to the offending value."""

    path: tuple[str | int, ...]
    message: str


class CrossFieldError(ValueError):
    """All such problems of one model, so that they are reported together with their locations."""

    def __init__(self, problems: list[CrossFieldProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(problem.message for problem in problems))


class ConfigModel(BaseModel):
    """Base of all configuration models: unknown keys are rejected, and instances are immutable.

    The text below a field states its meaning; ``model_reference.py`` reads it. Pydantic would do so
    whenever a model is imported, which took a sixth of a node's start.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)
