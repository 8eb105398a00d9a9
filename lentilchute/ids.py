"""Identifiers used throughout the package.

Each is a ``NewType`` over a plain type, so that a type checker distinguishes an instance from an
upstream while the value on the wire stays a string or an integer.
"""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""Name of one instance, from its settings; stable across restarts."""

IncarnationId = NewType("IncarnationId", str)
"""One process of an instance: the instance's name and a random part drawn at start."""

AvailabilityZone = NewType("AvailabilityZone", str)
ClientAccountId = NewType("ClientAccountId", str)
ServiceName = NewType("ServiceName", str)
UpstreamId = NewType("UpstreamId", str)
ModelName = NewType("ModelName", str)

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of an upstream's software, not of its model; versions have no order."""

StreamId = NewType("StreamId", str)
"""Id of the caller's attempt that brought the first event of a stream; later attempts that take the
stream up name it."""

RequestId = NewType("RequestId", str)
"""``<incarnation>/<sequence>``: identifies the only process that may dispatch the request."""

ShardId = NewType("ShardId", str)
"""``<service>/<number>``: the group of a service's upstreams that one scheduler manages."""

Attempt = NewType("Attempt", int)
"""Number of grants requested for one request; a grant for an older attempt is stale."""

Fingerprint = NewType("Fingerprint", str)
"""Digest of a request's content; a resend of the same content has the same digest."""

PromptPartId = NewType("PromptPartId", str)
"""Id of a part of a prompt, which callers name; equal parts of different prompts have the same
id."""

BlockHash = NewType("BlockHash", int)
"""Hash of a prompt prefix up to the end of one block, chained over the preceding blocks."""

IdempotencyKey = NewType("IdempotencyKey", str)
DocumentVersion = NewType("DocumentVersion", int)
FencingNumber = NewType("FencingNumber", int)
Tier = NewType("Tier", int)
"""Rank of a request's tier; 0 is the highest and is shed last."""


def request_id(incarnation: IncarnationId, sequence: int) -> RequestId:
    """Return the id of the ``sequence``-th request that ``incarnation`` accepted."""
    return RequestId(f"{incarnation}/{sequence}")


def incarnation_of(request: RequestId) -> IncarnationId:
    """Return the incarnation that accepted ``request``."""
    return IncarnationId(request.rsplit("/", 1)[0])


def instance_of(incarnation: IncarnationId) -> InstanceId:
    """Return the instance of ``incarnation`` (``<instance>.<random part>``)."""
    return InstanceId(incarnation.rsplit(".", 1)[0])


def shard_id(service: ServiceName, number: int = 0) -> ShardId:
    """Return the id of a service's ``number``-th shard."""
    return ShardId(f"{service}/{number}")


def service_of(shard: ShardId) -> ServiceName:
    """Return the service that ``shard`` belongs to."""
    return ServiceName(shard.rsplit("/", 1)[0])
