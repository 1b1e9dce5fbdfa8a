"""Reports of all entry hosts, as an entry host has them from the leader."""

from __future__ import annotations

from collections.abc import Sequence

from endivestream import logs
from endivestream import site_messages
from endivestream.request import host_shares

# How long reports are kept that a new leader does not have. Hosts send theirs
# with each renewal, so within a lease it has them all, unless it is of a build
# without reports.
_UNCONFIRMED_SECONDS = 15.0


class HostReports:
    """Keeps the reports and the shares that follow from them."""

    def __init__(self) -> None:
        self._hosts: tuple[site_messages.EntryHost, ...] = ()
        self._reports: dict[str, site_messages.HostReport] = {}
        # Since when the leader has not confirmed the report of a host.
        self._unconfirmed_since: dict[str, float] = {}
        self._shares = host_shares.ShareTable()

    def __repr__(self) -> str:
        return f"<HostReports of {len(self._reports)} hosts>"

    def shares(self, now: float) -> host_shares.ShareTable:
        """Returns the shares of all hosts."""
        expired = [
            name
            for name, since in self._unconfirmed_since.items()
            if now - since > _UNCONFIRMED_SECONDS
        ]
        for name in expired:
            del self._unconfirmed_since[name]
            self._reports.pop(name, None)
        if expired:
            logs.warn("host_reports_expired", hosts=len(expired))
            self._build()
        return self._shares

    def apply(self, news: site_messages.News, now: float) -> None:
        """Applies a table update."""
        is_full = news.base_position is None
        if not (is_full or news.entries is not None or news.host_reports):
            return
        if is_full:
            for name in self._reports:
                self._unconfirmed_since.setdefault(name, now)
        for report in news.host_reports:
            self._reports[report.host] = report
            self._unconfirmed_since.pop(report.host, None)
        if news.entries is not None:
            self._set_hosts(news.entries)
        self._build()

    def _set_hosts(self, hosts: Sequence[site_messages.EntryHost]) -> None:
        self._hosts = tuple(hosts)
        names = {host.name for host in hosts}
        for name in self._reports.keys() - names:
            del self._reports[name]
            self._unconfirmed_since.pop(name, None)

    def _build(self) -> None:
        self._shares = host_shares.ShareTable(
            hosts=self._hosts, reports=self._reports
        )
