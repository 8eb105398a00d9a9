"""Filter: the model, prompt size and prefix hashes of an OpenAI-compatible model call.

Calls to other paths get a small fixed token count.
"""

import json
from typing import Any

from ..document import is_model_path
from ..entry.prompts import estimate_tokens, prefix_hashes, prompt_text
from ..ids import ModelName
from ..scheduler.tickets import RefusalReason
from .chain import Stage, request_filter
from .draft import FilterContext, FilterRefusal, RequestDraft

PLAIN_CALL_TOKENS = 1


@request_filter(Stage.BODY, order=20)
def read_model_call(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    """Read the fields of a model call; other calls get a fixed token count."""
    path = draft.path.partition("?")[0]
    if not is_model_path(path):
        draft.prompt_tokens = PLAIN_CALL_TOKENS
        draft.max_output_tokens = PLAIN_CALL_TOKENS
        return None
    call = _json_object(draft)
    if call is None:
        return None
    _read_fields(draft, call)
    _read_prompt(draft, call, context)
    if not draft.findings and not draft.service_document.accepts_model(draft.model):
        return FilterRefusal(RefusalReason.UNKNOWN_MODEL)
    return None


def _json_object(draft: RequestDraft) -> dict[str, Any] | None:
    try:
        call = json.loads(draft.body)
    except (ValueError, RecursionError):
        draft.add_finding("body", "is not valid JSON")
        return None
    if not isinstance(call, dict):
        draft.add_finding("body", "is not a JSON object")
        return None
    return call


def _read_fields(draft: RequestDraft, call: dict[str, Any]) -> None:
    model = call.get("model")
    if isinstance(model, str) and model:
        draft.model = ModelName(model)
    else:
        draft.add_finding("body: model", "must be a non-empty string")
    streaming = call.get("stream", False)
    if isinstance(streaming, bool):
        draft.streaming = streaming
    else:
        draft.add_finding("body: stream", "must be true or false")
    _read_max_tokens(draft, call)


def _read_max_tokens(draft: RequestDraft, call: dict[str, Any]) -> None:
    limit = draft.service_document.limits.max_output_tokens
    draft.max_output_tokens = limit
    for name in ("max_completion_tokens", "max_tokens"):
        value = call.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or not 1 <= value <= limit:
            draft.add_finding(f"body: {name}", f"must be a whole number from 1 to {limit}")
            return
        draft.max_output_tokens = value
        return


def _read_prompt(draft: RequestDraft, call: dict[str, Any], context: FilterContext) -> None:
    text = prompt_text(call)
    if text is None:
        draft.add_finding(
            "body: messages", "must be a list of messages with a role, or a prompt string"
        )
        return
    draft.prompt_tokens = estimate_tokens(text)
    draft.prefix_hashes = prefix_hashes(text, draft.model, context.prefix_block_tokens)
