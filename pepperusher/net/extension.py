"""The interface between the proxy and its optional extensions.

The proxy configuration file, the admin listener, the control socket, the store and the gossip group all attach to the
proxy here. The proxy knows none of them by name, and loads only those that are configured. An extension overrides the
hooks that it needs; the defaults do nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from pepperusher.endpoint import Endpoint
from pepperusher.endpoint import FilterEndpoints as FilterEndpoints
from pepperusher.facade import Facade

if TYPE_CHECKING:
    from pepperusher.net.discovery import Discovery
    from pepperusher.net.request_ids import RequestIds
    from pepperusher.net.message import Answer, Request
    from pepperusher.net.handover_state import HandoverState
    from pepperusher.terms import PolicySettings


class ExtensionHost(Protocol):
    """The proxy, as its extensions see it."""

    @property
    def name(self) -> str: ...

    @property
    def facade(self) -> Facade: ...

    @property
    def stopping(self) -> bool:
        """Whether the proxy is shutting down."""
        ...

    @property
    def has_successor(self) -> bool:
        """Whether another process goes on serving at this address when this one stops."""

    @property
    def has_predecessor(self) -> bool:
        """Whether another process may be serving at this address, and this one takes its place."""

    @property
    def can_serve(self) -> bool:
        """Whether endpoints are known and the proxy is not shutting down."""
        ...

    def has_backend(self, backend: str) -> bool:
        """Whether the endpoint list has a backend of this id."""
        ...

    def limit_share(self, share: float) -> None:
        """Limits this process to a share of the descriptors and the memory, while two processes share them."""
        ...

    @property
    def request_ids(self) -> RequestIds:
        """The ids of the requests that this process has taken."""

    def handover_state(self) -> HandoverState:
        """The state to hand over to the next process."""
        ...

    def take_over_from(self, state: HandoverState) -> None:
        """Starts as the successor of another process, from the state that it handed over, which may be empty."""

    def reapply_filters(self, extension: Extension, entries: list[Endpoint]) -> None:
        """Applies entries that changed because the filter of `extension` changed; the filters after it apply to them
        too.
        """

    @property
    def policy_settings(self) -> PolicySettings: ...

    @property
    def discovery(self) -> Discovery:
        """For an extension that delivers the endpoint list itself; only `take_relayed_list`, `suspend_calls` and
        `resume_calls` are meant for it.
        """

    @property
    def list_version(self) -> int:
        """The version of the endpoint list; 0 without one."""
        ...

    @property
    def needs_list(self) -> bool:
        """Whether the endpoint list is empty and the proxy is not shutting down."""

    def list_for_peers(self) -> tuple[int, dict[str, Any]] | None:
        """The list and when discovery last confirmed it, for another proxy to borrow; None where it was never confirmed
        or has expired.
        """

    def borrow_list(self, listed: dict[str, Any], confirmed_at: int) -> None:
        """Uses another proxy's list until discovery delivers one. Raises ValueError where the list is invalid."""

    def steer_connections(self, to: int | None) -> bool:
        """Steers all new connections to the first (0) or second (1) process at this address; None leaves the choice to
        the kernel. Returns whether that worked.
        """

    def send_away(self, on: bool) -> None:
        """Starts or stops sending clients away: not ready, and connections close after their answers."""
        ...

    def sent_away(self) -> bool:
        """Whether clients are being sent away."""
        ...


class AdmissionGate(Protocol):
    """Admission control: every ticket passes through it before its first attempt, before each retry, and at its end."""

    request_store: Any

    def request_admission(
        self, request: Request, use_case: str, customer: str, wait_limit: int | None, usual_limit: int
    ) -> Any:
        """Matches the request to its route. `wait_limit` and `usual_limit` are the caller's and the use case's time
        limits in microseconds.
        """
        ...

    async def admit(self, ticket: Any, call: Any) -> bool:
        """Waits until the ticket is admitted. False where it is refused or its client left."""
        ...

    def refusal(self, ticket: Any) -> Answer | None:
        """The answer for a refused ticket; None where its client left."""
        ...

    def start_attempt(self, ticket: Any, time_limit: int) -> int:
        """Records that an attempt is sent. Returns how long it may take, at most `time_limit` microseconds."""
        ...

    def retry_allowed(self, ticket: Any, outcome: str) -> bool:
        """Whether the route allows another attempt after one that ended with `outcome`."""
        ...

    def refund_retry(self, ticket: Any, outcome: str) -> None:
        """Returns the retry that `retry_allowed` granted and that was not sent."""
        ...

    def finish(self, ticket: Any, outcome: str, worked: bool) -> None:
        """Records the end of the ticket."""
        ...

    def add_version_header(self, ticket: Any, answer: Answer | None) -> Answer | None:
        """Adds the version of the ticket's terms to the answer, if configured."""
        ...


class Extension:
    """Base class of extensions. The proxy calls the hooks in the order of its list of extensions, `stop` in reverse
    order.
    """

    descriptors = 0  # file descriptors of the extension itself, besides those of tickets
    shares_address = False  # whether another process may listen at the proxy's address
    filter_endpoints: FilterEndpoints | None = None  # filter for entries of the endpoint list
    gate: AdmissionGate | None = None

    async def attach(self, host: ExtensionHost) -> None:
        """Called before the proxy listens."""

    def prepare(self) -> None:
        """Called once all extensions are attached, just before the proxy listens. Raises OSError where the proxy must not
        start: from then on callers are connected, and nothing may end the process any more.
        """

    async def start(self) -> None:
        """Called once the proxy listens. What can't be opened then is logged, and tried again where that may help."""

    def settings_changed(self, policy_settings: PolicySettings) -> None:
        """Called once new settings are active."""

    def drain_started(self, until: int) -> None:
        """Called when shutdown begins, for notifying others. Tickets still waiting are given up at `until`."""

    async def stop(self) -> None:
        """Called once the last ticket is answered."""

    def sweep(self) -> None:
        """Called a few times a second."""

    def process_resumed(self) -> None:
        """Called after a pause of the process, before the next ticket, so that what other processes did meanwhile is
        taken into account.
        """

    @property
    def has_successor(self) -> bool:
        """Whether another process serves the clients from now on."""
        return False

    @property
    def has_predecessor(self) -> bool:
        """Whether another process may be serving at this address, and this one takes its place."""
        return False
