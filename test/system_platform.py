"""Fake platform in virtual time: a table, an object store and a lagging list of instances."""

from collections.abc import Callable

from result import Err, Ok, Result
from system_world import World

from lentilchute.state.platform_services import Row, TableFault, Transaction

TABLE_LATENCY_S = 0.02
TIMEOUT_S = 2.0
MAX_SLOW_S = 5.0
LOST_ANSWER_SHARE = 0.5


class FakePlatform:
    """The table, object store and instance list that all nodes share."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.is_down = False
        self.is_slow = False
        self.loses_answers = False
        self.commits = 0
        self.leaving: dict[str, float] = {}
        """Upstreams that the list shows as leaving, and since when."""
        self.missing: set[str] = set()
        """Upstreams that the list omits by mistake."""
        self.lag_s = 0.0

    def commit(
        self, transaction: Transaction, answer: Callable[[Result[None, TableFault]], None]
    ) -> None:
        """Apply a transaction and answer; faults may fail or delay the call, or lose its answer."""
        self._call(lambda: self._apply(transaction), answer, is_write=True)

    def read(
        self, keys: tuple[str, ...], answer: Callable[[Result[dict[str, Row], TableFault]], None]
    ) -> None:
        """Read rows."""
        self._call(
            lambda: Ok({key: self.rows[key] for key in keys if key in self.rows}),
            answer,
            is_write=False,
        )

    def put(self, key: str, body: bytes, answer: Callable) -> None:
        """Store an object."""

        def store() -> Result[None, TableFault]:
            self.objects[key] = body
            return Ok(None)

        self._call(store, answer, is_write=True)

    def fetch(self, key: str, answer: Callable) -> None:
        """Fetch an object."""
        self._call(lambda: Ok(self.objects.get(key)), answer, is_write=False)

    def listed_leaving(self) -> set[str]:
        """Return the upstreams that the lagging list currently shows as leaving."""
        visible_s = self.world.now_s - self.lag_s
        return {name for name, since_s in self.leaving.items() if since_s <= visible_s}

    def _call(self, work: Callable, answer: Callable, is_write: bool) -> None:
        if self.is_down:
            self.world.count_fault("platform call while down")
            self.world.after(TABLE_LATENCY_S, lambda: answer(Err(TableFault.UNAVAILABLE)))
        elif self.is_slow:
            self.world.count_fault("platform call late")
            # The caller times out, but the platform still completes the call, maybe later.
            fault = TableFault.UNKNOWN if is_write else TableFault.UNAVAILABLE
            self.world.after(TIMEOUT_S, lambda: answer(Err(fault)))
            self.world.after(self.world.rng.uniform(0.0, MAX_SLOW_S), work)
        elif is_write and self.loses_answers and self.world.rng.random() < LOST_ANSWER_SHARE:
            self.world.count_fault("platform answer lost after the write")
            self.world.after(TABLE_LATENCY_S, work)
            self.world.after(TIMEOUT_S, lambda: answer(Err(TableFault.UNKNOWN)))
        else:
            self.world.after(TABLE_LATENCY_S, lambda: self._work_and_answer(work, answer))

    def _work_and_answer(self, work: Callable, answer: Callable) -> None:
        result = work()
        self.world.after(TABLE_LATENCY_S, lambda: answer(result))

    def _apply(self, transaction: Transaction) -> Result[None, TableFault]:
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                return Err(TableFault.CONFLICT)
        for write in transaction.writes:
            self._write(write.key, write.value)
        self.commits += 1
        return Ok(None)

    def _write(self, key: str, value: str | None) -> None:
        if value is None:
            self.rows.pop(key, None)
            return
        row = self.rows.get(key)
        self.rows[key] = Row(key, row.version + 1 if row else 1, value)
