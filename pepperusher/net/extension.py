"""What a proxy may have beside it, and what each of these may ask of the proxy.

The own file, the console, the control socket, the store and the group all join the proxy here: it knows none
of them by name, and on the platform none is loaded. Each narrows, hears, says, or holds up the end; what it
leaves out does nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from pepperusher.endpoint import Endpoint
from pepperusher.endpoint import FilterEndpoints as FilterEndpoints
from pepperusher.facade import Facade

if TYPE_CHECKING:
    from pepperusher.net.discovery import Discovery
    from pepperusher.net.message import Answer, Request
    from pepperusher.net.handover_state import HandoverState
    from pepperusher.terms import PolicySettings


class ExtensionHost(Protocol):
    """The proxy, as its companions see it."""

    @property
    def name(self) -> str: ...

    @property
    def facade(self) -> Facade: ...

    @property
    def stopping(self) -> bool: ...

    @property
    def has_successor(self) -> bool:
        """Whether, as this one stops, another process serves on at its address."""

    @property
    def can_serve(self) -> bool: ...

    def has_backend(self, backend: str) -> bool: ...

    def limit_descriptors(self, part: float) -> None: ...

    def handover_state(self) -> HandoverState: ...

    def take_over_from(self, passed: HandoverState) -> None:
        """Takes the place of another process, which passed this on, or nothing."""

    def reapply_filters(self, by: Extension, lines: list[Endpoint]) -> None:
        """The lines that change by what `by` narrows now; those behind it have their say of them."""

    @property
    def policy_settings(self) -> PolicySettings: ...

    @property
    def discovery(self) -> Discovery:
        """For whoever has the list from elsewhere: `relayed`, `rest` and `ask` are meant."""

    @property
    def list_version(self) -> int: ...

    @property
    def needs_list(self) -> bool:
        """Whether it has no list at all."""

    def list_for_peers(self) -> tuple[int, dict[str, Any]] | None:
        """The list and when discovery last confirmed it; None where nobody has, and where it has expired."""

    def borrow_list(self, listed: dict[str, Any], confirmed_at: int) -> None:
        """Another's list, until discovery tells one. Raises ValueError where it is none."""

    def steer_connections(self, to: int | None) -> bool:
        """All new connections to the first (0) or second (1) process at this address, or as the kernel has
        it.
        """

    def send_away(self, on: bool) -> None: ...

    def sent_away(self) -> bool: ...


class AdmissionGate(Protocol):
    """Through whom each ticket goes, where there is one: in, out again, and over."""

    request_store: Any

    def request_admission(
        self, request: Request, use_case: str, customer: str, given: int | None, usual: int
    ) -> Any: ...

    async def admit(self, made: Any, call: Any) -> bool: ...

    def refusal(self, made: Any) -> Answer | None: ...

    def start_attempt(self, made: Any, wait: int) -> int: ...

    def retry_allowed(self, made: Any, how: str) -> bool: ...

    def refund_retry(self, made: Any, how: str) -> None: ...

    def finish(self, made: Any, end: str, worked: bool) -> None: ...

    def add_version_header(self, made: Any, answer: Answer | None) -> Answer | None: ...


class Extension:
    """One of them. The proxy calls these in the order of the list, `stop` in the other."""

    descriptors = 0  # that it takes for itself, beside those of tickets
    shares_address = False  # whether another process may listen at the proxy's address
    filter_endpoints: FilterEndpoints | None = None  # what it makes of lines of the list
    gate: AdmissionGate | None = None

    async def attach(self, host: ExtensionHost) -> None:
        """Before anything is served."""

    async def start(self) -> None:
        """Once callers can connect. Raises OSError where it can't be had."""

    def settings_changed(self, policy_settings: PolicySettings) -> None:
        """Other settings are in force."""

    def drain_started(self, until: int) -> None:
        """The proxy stops: whom it has to tell it tells now. What waits is given up at `until`."""

    async def stop(self) -> None:
        """The last ticket has its answer."""

    def sweep(self) -> None:
        """A few times a second."""

    def process_resumed(self) -> None:
        """The process did not run for a while: before another ticket is taken, what others did meanwhile
        counts.
        """

    @property
    def has_successor(self) -> bool:
        """Whether another process takes the clients from here on."""
        return False
