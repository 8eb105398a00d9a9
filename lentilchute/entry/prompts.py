"""Estimates the size of a prompt and hashes its prefixes, without a tokenizer.

Hashes are chained block by block: equal hashes mean equal prefixes up to that block, for the same
model.
"""

from typing import Any

import xxhash

from ..ids import BlockHash, ModelName

BYTES_PER_TOKEN = 4
MAX_PREFIX_BLOCKS = 1_024


def prompt_text(call: dict[str, Any]) -> bytes | None:
    """Return the prompt of a model call as the engine reads it; ``None`` if there is none."""
    prompt = call.get("prompt")
    if isinstance(prompt, str):
        return _encoded(prompt)
    messages = call.get("messages")
    if not isinstance(messages, list) or not messages:
        return None
    parts = [_message_text(message) for message in messages]
    if any(part is None for part in parts):
        return None
    return b"".join(part for part in parts if part is not None)


def estimate_tokens(text: bytes) -> int:
    """Return the estimated number of tokens of a prompt, at least one."""
    return max(1, -(-len(text) // BYTES_PER_TOKEN))


def prefix_hashes(text: bytes, model: ModelName, block_tokens: int) -> tuple[BlockHash, ...]:
    """Return a hash for each full block of the prompt, chained with the blocks before it."""
    block_bytes = block_tokens * BYTES_PER_TOKEN
    full_blocks = min(len(text) // block_bytes, MAX_PREFIX_BLOCKS)
    hashes = []
    chained = xxhash.xxh64_intdigest(_encoded(model))
    for index in range(full_blocks):
        block = text[index * block_bytes : (index + 1) * block_bytes]
        chained = xxhash.xxh64_intdigest(block, seed=chained)
        hashes.append(BlockHash(chained))
    return tuple(hashes)


def _message_text(message: Any) -> bytes | None:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        return None
    content = message.get("content")
    if isinstance(content, list):
        texts = [part.get("text", "") for part in content if isinstance(part, dict)]
        content = "".join(text for text in texts if isinstance(text, str))
    if not isinstance(content, str | None):
        return None
    return _encoded(f"<{message['role']}>{content or ''}\n")


def _encoded(text: str) -> bytes:
    # JSON strings may contain lone surrogates, which strict UTF-8 encoding rejects.
    return text.encode("utf-8", "surrogatepass")
