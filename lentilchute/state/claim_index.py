"""Index of the claims of one node by token, request, key and next step."""

from collections.abc import Iterator

from ..ids import RequestId
from .key_claim import ClaimStep, Intent, KeyClaim


class ClaimIndex:
    """Keeps the lookups consistent; a claim's intent and step are changed only through it."""

    def __init__(self) -> None:
        self._by_token: dict[str, KeyClaim] = {}
        self._by_request: dict[RequestId, KeyClaim] = {}
        self._by_key: dict[str, KeyClaim] = {}
        self._by_step: dict[ClaimStep, dict[str, KeyClaim]] = {step: {} for step in ClaimStep}

    def __iter__(self) -> Iterator[KeyClaim]:
        return iter(list(self._by_token.values()))

    def __contains__(self, claim: KeyClaim) -> bool:
        return claim.token in self._by_token

    def add(self, claim: KeyClaim) -> None:
        """Add a claim."""
        self._by_token[claim.token] = claim
        self._by_request[claim.request.request_id] = claim
        self._by_key[claim.key] = claim
        self._by_step[claim.step][claim.token] = claim

    def remove(self, claim: KeyClaim) -> None:
        """Remove a claim that needs no further operation."""
        self._remove_active(claim)
        self._by_step[claim.step].pop(claim.token, None)
        self._by_token.pop(claim.token, None)

    def set_step(self, claim: KeyClaim, step: ClaimStep) -> None:
        """Set the claim's next step, and append the claim to the queue of that step."""
        self._by_step[claim.step].pop(claim.token, None)
        claim.step = step
        self._by_step[step][claim.token] = claim

    def set_intent(self, claim: KeyClaim, intent: Intent) -> None:
        """Set the intent; a released claim is no longer found by its request or key."""
        claim.intent = intent
        if intent is Intent.RELEASE:
            self._remove_active(claim)

    def by_token(self, token: str) -> KeyClaim | None:
        """Return the claim with this token."""
        return self._by_token.get(token)

    def by_request(self, request_id: RequestId) -> KeyClaim | None:
        """Return the active claim of a request."""
        return self._by_request.get(request_id)

    def by_key(self, key: str) -> KeyClaim | None:
        """Return the active claim of a key."""
        return self._by_key.get(key)

    def due(self, step: ClaimStep, now_s: float) -> list[KeyClaim]:
        """Return the claims whose step is due and not in flight, oldest first."""
        claims = self._by_step[step].values()
        return [
            claim
            for claim in claims
            if claim.in_flight is ClaimStep.NOTHING and claim.not_before_s <= now_s
        ]

    def earliest_due_s(self, step: ClaimStep) -> float | None:
        """Return when the first claim in this step is due; ``None`` if there is none."""
        claims = self._by_step[step].values()
        times = [claim.not_before_s for claim in claims if claim.in_flight is ClaimStep.NOTHING]
        return min(times, default=None)

    def unresolved(self) -> int:
        """Return the number of claims that have a pending step."""
        return len(self._by_token) - len(self._by_step[ClaimStep.NOTHING])

    def _remove_active(self, claim: KeyClaim) -> None:
        if self._by_request.get(claim.request.request_id) is claim:
            del self._by_request[claim.request.request_id]
        if self._by_key.get(claim.key) is claim:
            del self._by_key[claim.key]
