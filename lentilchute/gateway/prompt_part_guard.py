"""Detects parts of prompts that crash the upstreams that answer them; free of I/O.

Such a part crashes its upstream before the first event of the answer, whatever else the prompt
holds. So the suspects of a crash are the parts of all prompts whose answers had not begun there,
and a part is cleared whenever an answer to a prompt with it begins, anywhere. A part that several
unlike requests had in common at several crashes is blocked at every node::

    guard.record_crash(listing.incarnation, CrashedPrompt(fingerprint, parts), now_s)
    guard.blocked_part(parts, now_s)        # the part that must not reach an upstream, or None
"""

from collections import Counter, OrderedDict
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from ..ids import Fingerprint, PromptPartId
from .departures import Incarnation
from .messages import BlockedPart, CrashedPrompt

CRASHES_TO_BLOCK = 3
REQUESTS_TO_BLOCK = 2
"""One request that crashes upstreams by itself is the business of ``crash_guard.py``."""
MIN_SPAN_S = 0.5
"""Upstreams that fail together, such as those of one rack, say nothing about a prompt."""
BLOCK_S = 600.0
"""A part is blocked for this long after its last crash."""
EVIDENCE_LIFETIME_S = 3_600.0
"""One more crash within this time blocks a part again."""
DELAY_SLACK_S = 1.0
"""A message that names an age is delayed by less; smaller differences are no news of a crash."""
MAX_CRASHES = 500
MAX_REMEMBERED_PARTS = 5_000
"""Bounds memory; the oldest are forgotten first."""


@dataclass(slots=True)
class _Crash:
    at_s: float
    prompts: dict[Fingerprint, frozenset[PromptPartId]] = field(default_factory=dict)

    def parts(self) -> set[PromptPartId]:
        """Return the parts of all prompts that were involved."""
        return set().union(*self.prompts.values())


class PromptPartGuard:
    """Suspected and blocked parts, from this node's crashes and those that peers report."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[Incarnation, _Crash] = OrderedDict()
        self._crash_counts: Counter[PromptPartId] = Counter()
        """In how many of these crashes each part was involved."""
        self._suspects: set[PromptPartId] = set()
        """Parts that no answer has cleared since their last crash."""
        self._blocked: dict[PromptPartId, float] = {}
        """Time of the last crash of each part that the crashes convict."""
        self._adopted: dict[PromptPartId, float] = {}
        """The same of parts that another node blocked."""
        self._answered_s: OrderedDict[PromptPartId, float] = OrderedDict()
        """When an answer to a prompt with the part last began."""

    def record_crash(
        self, upstream: Incarnation, prompt: CrashedPrompt, now_s: float
    ) -> list[PromptPartId]:
        """Record a prompt whose answer had not begun when its upstream crashed.

        Returns the parts that this blocks.
        """
        self._forget_old(now_s)
        was_blocked = self._blocked_now(now_s)
        crash = self._crashes.setdefault(upstream, _Crash(now_s))
        known = crash.parts()
        crash.prompts[prompt.request] = frozenset(prompt.parts)
        self._crash_counts.update(crash.parts() - known)
        self._suspects.update(prompt.parts)
        self._blocked = self._find_culprits()
        return sorted(self._blocked_now(now_s) - was_blocked)

    def record_answer(
        self, parts: Iterable[PromptPartId], now_s: float
    ) -> tuple[PromptPartId, ...]:
        """Record that the answer to a prompt with these parts began; return the suspects among
        them, which are cleared."""
        for part in parts:
            self._answered_s[part] = now_s
            self._answered_s.move_to_end(part)
        while len(self._answered_s) > MAX_REMEMBERED_PARTS:
            self._answered_s.popitem(last=False)
        cleared = tuple(part for part in parts if part in self._suspects)
        if cleared:
            self._suspects.difference_update(cleared)
            for part in cleared:
                self._adopted.pop(part, None)
            self._blocked = self._find_culprits()
        return cleared

    def adopt(self, blocked: Iterable[BlockedPart], now_s: float) -> list[PromptPartId]:
        """Block parts that another node blocks, unless they have been answered since.

        Returns the parts that this blocks.
        """
        was_blocked = self._blocked_now(now_s)
        for item in blocked:
            last_crash_s = now_s - item.age_s
            known_s = self._adopted.get(item.part, float("-inf"))
            if last_crash_s > max(known_s + DELAY_SLACK_S, self._answered_at_s(item.part)):
                self._adopted[item.part] = last_crash_s
                self._suspects.add(item.part)
                self._blocked[item.part] = max(last_crash_s, self._blocked.get(item.part, known_s))
        return sorted(self._blocked_now(now_s) - was_blocked)

    def blocked(self, now_s: float) -> tuple[BlockedPart, ...]:
        """Return the blocked parts, for nodes that were not told of the crashes."""
        return tuple(
            BlockedPart(part, now_s - self._blocked[part])
            for part in sorted(self._blocked_now(now_s))
        )

    def blocked_part(self, parts: Iterable[PromptPartId], now_s: float) -> PromptPartId | None:
        """Return the first of the parts that is blocked, or ``None``."""
        if not self._blocked:
            return None
        return next((part for part in parts if self._is_blocked(part, now_s)), None)

    def blocked_count(self, now_s: float) -> int:
        """Return how many parts are blocked."""
        return len(self._blocked_now(now_s))

    def _blocked_now(self, now_s: float) -> set[PromptPartId]:
        return {part for part in self._blocked if self._is_blocked(part, now_s)}

    def _is_blocked(self, part: PromptPartId, now_s: float) -> bool:
        last_crash_s = self._blocked.get(part)
        return last_crash_s is not None and now_s - last_crash_s < BLOCK_S

    def _find_culprits(self) -> dict[PromptPartId, float]:
        """Return the parts that explain the crashes, each with the time of its last one.

        The part that explains most crashes comes first, and those do not count for other parts.
        Where several explain as many, the one that was answered least recently is to blame: sound
        requests share the others.
        """
        culprits: dict[PromptPartId, float] = {}
        explained: set[Incarnation] = set()
        for part, last_crash_s in self._adopted.items():
            crashes_s = self._evidence(part, explained).crashes_s
            culprits[part] = max((last_crash_s, *crashes_s.values()))
            explained.update(crashes_s)
        candidates = [
            part
            for part, crashes in self._crash_counts.items()
            if crashes >= CRASHES_TO_BLOCK and part not in culprits
        ]
        while candidates:
            found = {part: self._evidence(part, explained) for part in candidates}
            candidates = [part for part in candidates if found[part].is_convincing]
            if candidates:
                culprit = max(
                    candidates,
                    key=lambda part: (len(found[part].crashes_s), -self._answered_at_s(part)),
                )
                culprits[culprit] = max(found[culprit].crashes_s.values())
                explained.update(found[culprit].crashes_s)
                candidates.remove(culprit)
        return culprits

    def _evidence(self, part: PromptPartId, explained: Container[Incarnation]) -> "_Evidence":
        """Return the crashes since the part's last answer that are not explained otherwise."""
        evidence = _Evidence()
        answered_s = self._answered_at_s(part)
        for upstream, crash in reversed(self._crashes.items()):
            if crash.at_s <= answered_s:
                break
            if upstream not in explained:
                evidence.add(upstream, crash, part)
        return evidence

    def _answered_at_s(self, part: PromptPartId) -> float:
        return self._answered_s.get(part, float("-inf"))

    def _forget_old(self, now_s: float) -> None:
        for part, last_crash_s in list(self._adopted.items()):
            if now_s - last_crash_s > EVIDENCE_LIFETIME_S:
                del self._adopted[part]
        while self._crashes:
            oldest, crash = next(iter(self._crashes.items()))
            is_old = now_s - crash.at_s > EVIDENCE_LIFETIME_S
            if not is_old and len(self._crashes) < MAX_CRASHES:
                return
            del self._crashes[oldest]
            self._crash_counts.subtract(crash.parts())
            self._crash_counts = +self._crash_counts
            self._suspects &= self._crash_counts.keys() | self._adopted.keys()


@dataclass(slots=True)
class _Evidence:
    """The crashes since a part was last answered, and the requests that had it."""

    crashes_s: dict[Incarnation, float] = field(default_factory=dict)
    requests: set[Fingerprint] = field(default_factory=set)

    @property
    def is_convincing(self) -> bool:
        """Whether the part is to be blocked."""
        times_s = self.crashes_s.values()
        return (
            len(times_s) >= CRASHES_TO_BLOCK
            and len(self.requests) >= REQUESTS_TO_BLOCK
            and max(times_s) - min(times_s) >= MIN_SPAN_S
        )

    def add(self, upstream: Incarnation, crash: _Crash, part: PromptPartId) -> None:
        """Add a crash, if it involved requests with the part."""
        requests = {request for request, parts in crash.prompts.items() if part in parts}
        if requests:
            self.crashes_s[upstream] = crash.at_s
            self.requests |= requests
