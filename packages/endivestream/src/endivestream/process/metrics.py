"""Metrics of one process, for `/metrics`."""

from __future__ import annotations

import prometheus_client

# Upper bounds of histogram buckets, in seconds.
_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5, 10, 30)
_GAP_BUCKETS = (0.001, 0.005, 0.01, 0.02, 0.034, 0.05, 0.1, 0.25, 1, 5)


class Metrics:
    """All metrics, in a separate registry.

    Attributes:
        requests: Ended requests by kind, outcome and reason.
        first_token: Seconds from a request's head to its first token.
        between_tokens: Seconds between relayed events of a stream.
        tokens: Generated tokens relayed.
        running: Running requests of callers.
        resumed: Streams resumed on another target.
        lease_left: Seconds until the configuration lease expires.
        version: Configuration version in force on this host.
    """

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        registry = self._registry
        self.requests = prometheus_client.Counter(
            "endivestream_requests",
            "Ended requests",
            ["kind", "outcome", "reason"],
            registry=registry,
        )
        self.first_token = prometheus_client.Histogram(
            "endivestream_first_token_seconds",
            "Seconds from a request's head to its first token",
            buckets=_BUCKETS,
            registry=registry,
        )
        self.between_tokens = prometheus_client.Histogram(
            "endivestream_between_tokens_seconds",
            "Seconds between relayed events of a stream",
            buckets=_GAP_BUCKETS,
            registry=registry,
        )
        self.tokens = prometheus_client.Counter(
            "endivestream_tokens", "Generated tokens relayed", registry=registry
        )
        self.running = prometheus_client.Gauge(
            "endivestream_running",
            "Running requests of callers",
            registry=registry,
        )
        self.resumed = prometheus_client.Counter(
            "endivestream_resumed",
            "Streams resumed on another target",
            registry=registry,
        )
        self.lease_left = prometheus_client.Gauge(
            "endivestream_lease_left_seconds",
            "Seconds until the configuration lease expires",
            registry=registry,
        )
        self.version = prometheus_client.Gauge(
            "endivestream_configuration_version",
            "Configuration version in force on this host",
            registry=registry,
        )

    def exposition(self) -> bytes:
        """Returns all metrics in the text format, for `/metrics`."""
        return prometheus_client.generate_latest(self._registry)
