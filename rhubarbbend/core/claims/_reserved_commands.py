"""Commands under reserved keys, which are run by the instance that issued the key.

An instance that receives such a command from a caller forwards it to the issuer and relays the
issuer's answer.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from rhubarbbend import codes
from rhubarbbend.codes import Verdict
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context
from rhubarbbend.core.claims._claim_coordinator import ClaimCoordinator
from rhubarbbend.core.claims._claim_rows import Outcome
from rhubarbbend.core.claims._key_issuer import KeyIssuer
from rhubarbbend.core.claims._keys import ReservedKey
from rhubarbbend.core.configuration import Account
from rhubarbbend.core.messages import ReservedReply, ReservedRun
from rhubarbbend.core.requests._request import Request, RequestPhase
from rhubarbbend.core.requests._request_table import RequestTable
from rhubarbbend.core.requests._responses import ResponseSender, make_peer_request_id

MAX_KEYS_PER_REQUEST: Final = 100

Admit = Callable[[events.RequestArrived, Account, float], None]
Route = Callable[[Request, float], None]


class ReservedCommands:
    """Issues reserved keys, and runs commands under them or forwards them to their issuers.

    `admit` admits a command forwarded by a peer; `route` starts the search for a slot for a command
    that runs here.
    """

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        responses: ResponseSender,
        claims: ClaimCoordinator,
        admit: Admit,
        route: Route,
    ) -> None:
        self._context = context
        self._table = table
        self._responses = responses
        self._claims = claims
        self._issuer = KeyIssuer(context)
        self._admit = admit
        self._route = route

    def handle_keys_requested(self, event: events.KeysRequested, now: float) -> None:
        """Issue reserved keys to a caller, at most MAX_KEYS_PER_REQUEST at once."""
        account = self._context.configuration.accounts.get(event.key_digest)
        if account is None:
            self._responses.reject(event.request, "", codes.UNAUTHORIZED, now)
        elif self._context.stopping:
            self._responses.reject(event.request, "", codes.STOPPING, now)
        elif not 1 <= event.count <= MAX_KEYS_PER_REQUEST:
            self._responses.reject(event.request, "", codes.BAD_REQUEST, now)
        else:
            keys = self._issuer.issue(account.name, event.count, now)
            self._context.emit(actions.GiveKeys(event.request, keys))

    def run_or_forward(self, request: Request, now: float) -> None:
        """Run a command here if this incarnation issued its key, else forward it to the issuer."""
        key = self._issuer.decode(request)
        if key is None:
            self._responses.refuse(request, codes.KEY_INVALID, Verdict.NOT_RUN, now)
        elif self._issuer.is_expired(key, now):
            # The key's record may be evicted already, so whether the command has run is not known.
            self._responses.refuse(request, codes.ISSUER_GONE, Verdict.MAY_HAVE_RUN, now)
        elif self._issuer.is_own(key):
            self._route(request, now)
        elif request.arrival.on_behalf_of:
            self._responses.refuse(request, codes.ISSUER_GONE, Verdict.MAY_HAVE_RUN, now)
        else:
            self._forward(request, key, now)

    def handle_reserved_run(self, sender: str, message: ReservedRun, now: float) -> None:
        """Admit a command that a peer has forwarded."""
        accounts = self._context.configuration.accounts.values()
        account = next((a for a in accounts if a.name == message.account), None)
        event = events.RequestArrived(
            request=make_peer_request_id(sender, message.request),
            key_digest="" if account is None else account.key_digest,
            service_name=message.service_name,
            model="",
            method=message.method,
            path=message.path.partition("?")[0],
            body_digest=message.digest,
            time_left=message.time_left,
            key=message.key,
            wall=message.arrived,
            on_behalf_of=sender,
        )
        if account is None:
            self._responses.reject(event.request, sender, codes.UNAUTHORIZED, now)
            return
        self._admit(event, account, now)

    def handle_reserved_reply(self, sender: str, message: ReservedReply, now: float) -> None:
        """Relay the issuer's answer to the caller.

        A reply to any attempt but one that waits for this issuer is ignored.
        """
        request = self._table.find_by_attempt(message.request)
        if request is None or request.phase is not RequestPhase.FORWARDED:
            return
        if request.asked_instance != sender:
            return
        if message.error:
            verdict = self._compute_verdict(message, now)
            self._responses.refuse(request, codes.find_error(message.error), verdict, now)
            return
        outcome = Outcome(message.status, message.content_type, message.body, True)
        self._responses.reply(request, outcome, message.replayed, now)

    def handle_peer_lost(self, peer: str, now: float) -> None:
        """Refuse the requests that wait for an unreachable issuer; their outcome is unknown."""
        for request in self._table.list_all():
            if request.phase is RequestPhase.FORWARDED and request.asked_instance == peer:
                self._responses.refuse(request, codes.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, now)

    def _forward(self, request: Request, key: ReservedKey, now: float) -> None:
        view = self._context.fleet.instances.get(key.issuer)
        if view is None or view.incarnation not in (0, key.incarnation):
            self._responses.refuse(request, codes.ISSUER_GONE, Verdict.MAY_HAVE_RUN, now)
            return
        request.phase = RequestPhase.FORWARDED
        request.asked_instance = key.issuer
        request.sent = True
        # Callers choose request ids, so two requests may have the same one. The attempt id keeps a
        # late reply to the first from being taken for a reply to the second.
        self._table.set_current_attempt(request, self._table.make_attempt_id())
        arrived = request.arrival
        message = ReservedRun(
            request=request.attempt,
            instance=self._context.identity.instance,
            key=arrived.key,
            account=request.account.name,
            service_name=request.service.name,
            method=arrived.method,
            path=arrived.path,
            digest=arrived.body_digest,
            time_left=request.time_left(now),
            arrived=self._context.to_unix_time(request.arrived_at),
        )
        self._context.emit(
            actions.SendReserved(request.id, key.issuer, view.host, view.peer_port, message)
        )

    def _compute_verdict(self, message: ReservedReply, now: float) -> Verdict:
        """Return the issuer's verdict, with "not run" relayed only while it is sure to be true.

        After a refusal the issuer refuses later requests under the key for a limited time. A reply
        that took longer may be overtaken by the run of a later request.
        """
        try:
            verdict = Verdict(message.verdict)
        except ValueError:
            return Verdict.MAY_HAVE_RUN
        age = self._context.to_unix_time(now) - message.at
        if verdict is Verdict.NOT_RUN and age > self._context.options.claim_timeout:
            return Verdict.MAY_HAVE_RUN
        return verdict
