"""Serves requests for other instances that cannot reach the targets themselves."""

from __future__ import annotations

from typing import Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core.rollouts import VersionChoice
from rhubarbbend.gateway._detour_messages import (
    REFUSAL_HEADER,
    DetourRefusal,
    DetourTerms,
    read_terms,
)
from rhubarbbend.gateway._detours import DECLINED, DetourResult
from rhubarbbend.gateway._request_ender import RequestEnder
from rhubarbbend.gateway._request_server import RequestServer
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.http import Exchange

# Instances without links that a decline names, so that its head stays small.
MAX_NAMED: Final = 64


class DetourEnder(RequestEnder):
    """Ends requests of other instances, which are told why there is no answer of a target."""

    def decline(self, request: OpenRequest, now: float) -> None:
        """Answer a request whose service this instance does not reach."""
        notices = self._state.reach.list_service(request.service.name, now)[:MAX_NAMED]
        code, verdict = codes.NO_TARGET, Verdict.NOT_RUN
        refusal = DetourRefusal(code.name, verdict, request.progress.targets, notices)
        self._add_refusal(request.exchange, refusal)
        super().write_error(request.exchange, request.id, code, verdict, 0.0)
        self._state.metrics.increment_counter(f"refused.{code.name}")
        self.log_end(request, f"refused: {code.name}", code.status, verdict)

    def _add_refusal(self, exchange: Exchange, refusal: DetourRefusal) -> None:
        exchange.extra_headers.append((REFUSAL_HEADER, msgspec.json.encode(refusal)))

    def write_error(
        self,
        exchange: Exchange,
        request_id: str,
        code: ErrorCode,
        verdict: Verdict,
        retry_after: float,
        targets: int = 0,
    ) -> None:
        """Answer with an error; `targets` is how many targets the request was sent to."""
        self._add_refusal(exchange, DetourRefusal(code.name, verdict, targets))
        super().write_error(exchange, request_id, code, verdict, retry_after)


class DetourServer(RequestServer):
    """Serves the requests that other instances hand to this one.

    They are admitted and sent as if their callers had come here, but the instance that took such a
    request has counted it for the shares of limits over the fleet, and what this one cannot reach
    at the moment it declines at once. Invariant: no request goes on to a third instance.
    """

    def _make_ender(self) -> RequestEnder:
        self._detour_ender = DetourEnder(self._state, self._caller_protocol, self._clock)
        return self._detour_ender

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request of another instance."""
        now = self._clock()
        try:
            terms = read_terms(exchange.headers)
        except msgspec.MsgspecError as error:
            self._state.event_log.write("peer_unreadable", now, reason=str(error))
            terms = None
        if terms is None:
            exchange.respond(400, [], b"")
        elif self._may_serve(terms):
            self._state.metrics.increment_counter(codes.DETOURS_SERVED)
            await super().serve(exchange)
        else:
            request_id = self._caller_protocol.read_request_id(exchange)
            self._ender.write_error(exchange, request_id, codes.NOT_READY, Verdict.NOT_RUN, 0.0)

    def _admit(self, exchange: Exchange, now: float) -> OpenRequest | None:
        """Return the request if it may be sent; decline it at once if its targets are not reached.

        Otherwise it could be refused for want of room at the targets, of which this instance knows
        nothing, and its sender would ask this instance again and again.
        """
        request = super()._admit(exchange, now)
        if request is not None and self._state.reach.is_unreached_here(request.service.name):
            self._prober.check(request.service.name, now)
            self._detour_ender.decline(request, now)
            return None
        return request

    def _may_serve(self, terms: DetourTerms) -> bool:
        """Return whether this instance serves detours, and by no older configuration."""
        catalog = self._state.catalog
        is_current = catalog is not None and catalog.version >= terms.config_version
        return self._state.ready and is_current

    def _begin(self, request: OpenRequest, now: float) -> None:
        terms = read_terms(request.exchange.headers)
        assert terms is not None
        request.is_detour = True
        request.progress.targets = terms.targets
        request.origin = terms.origin
        registered = self._state.registry.count_versions(request.service.name)
        versions = self._state.rollouts.find_versions(request.service.name, registered)
        # The instance that took the request counts it for the share of a version on trial.
        request.version = VersionChoice(versions.serving)

    def _avoids_unreachable(self, request: OpenRequest, now: float) -> bool:
        return True

    async def _run_detour(self, request: OpenRequest) -> DetourResult:
        return DECLINED
