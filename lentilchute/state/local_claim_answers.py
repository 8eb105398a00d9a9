"""Claim results for keys that a request of the same process holds or is claiming."""

from .claim_actions import ClaimAction, ClaimResolved
from .claim_answers import ClaimAnswer, ClaimRequest, ClaimState
from .key_claim import Intent, KeyClaim


def answer_repeated_claim(claim: KeyClaim) -> list[ClaimAction]:
    """Return the result for a request that claims the same key again."""
    if claim.intent is not Intent.HOLD:
        return []
    return [ClaimResolved(claim.request.request_id, ClaimAnswer(ClaimState.GRANTED))]


def answer_for_held_key(holder: KeyClaim, request: ClaimRequest) -> ClaimAnswer:
    """Return the result for a key that another request of this process holds or is claiming."""
    if holder.intent is Intent.CLAIM:
        return ClaimAnswer(ClaimState.RUNNING_ELSEWHERE)
    if holder.request.fingerprint != request.fingerprint:
        return ClaimAnswer(ClaimState.OTHER_BODY)
    if holder.intent is Intent.FINISH:
        return ClaimAnswer(ClaimState.FINISHED, holder.kept)
    return ClaimAnswer(ClaimState.RUNNING_ELSEWHERE)
