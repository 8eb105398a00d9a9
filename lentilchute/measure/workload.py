"""Generates the requests of simulated callers and their arrival times."""

import itertools
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..ids import BlockHash
from .fake_engine import BLOCK_TOKENS, MIXED_PREFILL, EngineSpec
from .job import Job

TIER_SHARES = (0.2, 0.25, 0.3, 0.25)
TIER_DEADLINES_S = (20.0, 25.0, 30.0, 40.0)
ACCOUNT_SHARES = (0.4, 0.3, 0.15, 0.1, 0.05)
SAMPLE_SIZE = 2_000


@dataclass(frozen=True, slots=True)
class RequestSample:
    """A sampled request without an arrival time."""

    tier: int
    account: int
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[BlockHash, ...]
    patience_s: float


class RequestSampler:
    """Samples the properties of requests.

    Prompts with the same shared key share a prefix; all other blocks are unique.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self._new_block = itertools.count(1)
        self._shared: dict[str, tuple[BlockHash, ...]] = {}

    def sample_tokens(self, median: float, sigma: float, low: int, high: int) -> int:
        """Sample a token count from a log-normal distribution, clamped to a range."""
        return int(min(max(median * math.exp(self.rng.gauss(0, sigma)), low), high))

    def sample_index(self, shares: tuple[float, ...]) -> int:
        """Sample an index with probabilities proportional to ``shares``."""
        return self.rng.choices(range(len(shares)), shares)[0]

    def blocks(
        self, prompt_tokens: int, shared_key: str, shared_tokens: int
    ) -> tuple[BlockHash, ...]:
        """Return the blocks of a prompt that begins with a shared prefix."""
        total = prompt_tokens // BLOCK_TOKENS
        shared = min(shared_tokens // BLOCK_TOKENS, total)
        if shared_key not in self._shared or len(self._shared[shared_key]) < shared:
            self._shared[shared_key] = self._take_new_blocks(shared_tokens // BLOCK_TOKENS)
        return self._shared[shared_key][:shared] + self._take_new_blocks(total - shared)

    def _take_new_blocks(self, count: int) -> tuple[BlockHash, ...]:
        return tuple(BlockHash(block) for block in itertools.islice(self._new_block, count))


Mix = Callable[[RequestSampler], RequestSample]


def default_mix(sampler: RequestSampler) -> RequestSample:
    """Chat requests in four tiers; the requests of an account share a short prefix."""
    tier = sampler.sample_index(TIER_SHARES)
    account = sampler.sample_index(ACCOUNT_SHARES)
    prompt = sampler.sample_tokens(220, 0.8, 20, 4_000)
    output = sampler.sample_tokens(180, 0.5, 10, 600)
    blocks = sampler.blocks(prompt, f"account-{account}", 128)
    return RequestSample(tier, account, prompt, output, blocks, TIER_DEADLINES_S[tier])


def long_short_mix(sampler: RequestSampler) -> RequestSample:
    """Prompts of 20 tokens, except one in thirty, which has 40,000 tokens."""
    tier = sampler.sample_index(TIER_SHARES)
    account = sampler.sample_index(ACCOUNT_SHARES)
    if sampler.rng.random() < 1 / 30:
        blocks = sampler.blocks(40_000, "", 0)
        return RequestSample(tier, account, 40_000, 300, blocks, 90.0)
    output = sampler.sample_tokens(180, 0.5, 10, 600)
    return RequestSample(tier, account, 20, output, (), TIER_DEADLINES_S[tier])


def notary_mix(sampler: RequestSampler) -> RequestSample:
    """Many short questions in Arabic and French, and long deed files due at a signing."""
    account = sampler.sample_index(ACCOUNT_SHARES)
    kind = sampler.rng.random()
    language = sampler.rng.choice(("ar", "fr"))
    tokens_per_word = 2.2 if language == "ar" else 1.4
    if kind < 0.06:
        prompt = int(sampler.sample_tokens(4_000, 0.6, 1_500, 12_000) * tokens_per_word)
        output = sampler.sample_tokens(350, 0.4, 100, 800)
        # The parties to a signing ask about the same file.
        file = f"deed-{sampler.rng.randrange(40)}"
        return RequestSample(0, account, prompt, output, sampler.blocks(prompt, file, 3_000), 60.0)
    tier = 1 if kind < 0.5 else 2 if kind < 0.8 else 3
    prompt = int(sampler.sample_tokens(90, 0.6, 15, 800) * tokens_per_word)
    output = sampler.sample_tokens(120, 0.5, 10, 400)
    blocks = sampler.blocks(prompt, f"answers-{language}", 128)
    return RequestSample(tier, account, prompt, output, blocks, TIER_DEADLINES_S[tier])


def terminal_mix(sampler: RequestSampler) -> RequestSample:
    """Long statements and explanations that share a terminal's meter log, and short ticket tags."""
    account = sampler.sample_index(ACCOUNT_SHARES)
    kind = sampler.rng.random()
    if kind < 0.35:
        log = sampler.rng.randrange(60)
        prompt = 6_144 + sampler.sample_tokens(300, 0.5, 64, 1_500)
        output = sampler.sample_tokens(450, 0.4, 100, 900)
        return RequestSample(
            0, account, prompt, output, sampler.blocks(prompt, f"log-{log}", 6_144), 90.0
        )
    if kind < 0.6:
        log = sampler.rng.randrange(60)
        prompt = 2_048 + sampler.sample_tokens(150, 0.5, 20, 800)
        output = sampler.sample_tokens(150, 0.5, 20, 500)
        return RequestSample(
            1, account, prompt, output, sampler.blocks(prompt, f"log-{log}", 2_048), 30.0
        )
    prompt = sampler.sample_tokens(120, 0.5, 20, 600)
    output = sampler.sample_tokens(20, 0.5, 4, 60)
    return RequestSample(2, account, prompt, output, sampler.blocks(prompt, "tags", 64), 30.0)


@dataclass(frozen=True, slots=True)
class MeanWork:
    """Mean work per request in tokens, with ideal prefix reuse."""

    prefill_tokens: float
    output_tokens: float

    def rate_per_s(self, specs: tuple[EngineSpec, ...]) -> float:
        """Return the request rate that saturates the engines.

        While an engine decodes, prefill gets at most the fraction ``MIXED_PREFILL`` of its time.
        """
        rate = 0.0
        for spec in specs:
            prefill_s = self.prefill_tokens / spec.prefill_tokens_per_s
            decode_s = self.output_tokens * spec.step_s / spec.max_batch
            rate += min(1.0 / (prefill_s + decode_s), MIXED_PREFILL / prefill_s)
        return rate


def mean_work(mix: Mix, seed: int) -> MeanWork:
    """Estimate the mean work of a mix from a sample."""
    sampler = RequestSampler(random.Random(seed))
    seen: set[BlockHash] = set()
    prefill = 0
    output = 0
    for _ in range(SAMPLE_SIZE):
        sample = mix(sampler)
        prefill += uncached_tokens(sample.prompt_tokens, sample.blocks, seen)
        output += sample.output_tokens
    return MeanWork(prefill / SAMPLE_SIZE, output / SAMPLE_SIZE)


def uncached_tokens(prompt_tokens: int, blocks: tuple[BlockHash, ...], seen: set[BlockHash]) -> int:
    """Return the prompt tokens outside the longest seen prefix, and add the blocks to ``seen``."""
    cached_blocks = 0
    for block in blocks:
        if block not in seen:
            break
        cached_blocks += 1
    seen.update(blocks)
    return max(prompt_tokens - cached_blocks * BLOCK_TOKENS, 1)


def arrivals(mix: Mix, rate_at: Callable[[float], float], end_s: float, seed: int) -> Iterator[Job]:
    """Yield requests that arrive as a Poisson process with a time-varying rate."""
    rng = random.Random(seed)
    sampler = RequestSampler(random.Random(seed + 1))
    peak = max(rate_at(second) for second in range(int(end_s)))
    now_s = 0.0
    number = itertools.count()
    while True:
        now_s += rng.expovariate(peak)
        if now_s >= end_s:
            return
        if rng.random() * peak > rate_at(now_s):
            continue
        sample = mix(sampler)
        first = next(number)
        yield Job(
            first,
            sample.tier,
            sample.account,
            now_s,
            now_s + sample.patience_s,
            sample.prompt_tokens,
            sample.output_tokens,
            min(2 * sample.output_tokens + rng.randrange(100), 4_096),
            sample.blocks,
            origin=first,
        )
