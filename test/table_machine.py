"""Base class of state machine tests whose nodes call a fake table."""

from collections.abc import Mapping
from typing import Any, ClassVar

from coverage_counter import CoverageCounter
from fakes import CallFate, FakeTable, TableCall
from result import Ok
from step_machine import Draw, StepMachine


class TableMachine(StepMachine):
    """Executes, answers, loses and delays table calls in separate steps."""

    COVERAGE: ClassVar[CoverageCounter]
    table: FakeTable
    calls: list[TableCall]
    nodes: Mapping[str, Any]
    """Nodes by name; each has a ``frozen`` attribute."""

    def do_table_executes(self, draw: Draw) -> None:
        open_calls = [call for call in self.calls if call.answer is None]
        if not open_calls:
            return
        call = draw(open_calls)
        fate = draw([CallFate.ANSWERED, CallFate.ANSWERED, *CallFate])
        if call.transaction is not None:
            self.COVERAGE.hit(f"write {fate.value}")
        self.table.execute(call, fate)

    def do_table_answers(self, draw: Draw) -> None:
        ready = [call for call in self.calls if call.answer is not None]
        if ready:
            self.deliver(draw(ready))

    def do_platform_works(self, draw: Draw) -> None:
        for call in list(self.calls):
            if call.answer is None:
                self.table.execute(call, CallFate.ANSWERED)
            self.deliver(call)

    def deliver(self, call: TableCall) -> None:
        if self.nodes[call.node].frozen:
            return
        self.calls.remove(call)
        call.deliver(call.answer)

    def do_late_write_arrives(self, draw: Draw) -> None:
        if not self.table.late:
            return
        applied = self.table.apply_late(draw(range(len(self.table.late))))
        self.COVERAGE.hit("late write applied" if applied == Ok(None) else "late write rejected")
