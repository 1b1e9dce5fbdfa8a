"""Three control hosts as real processes: killed, frozen, without their disk."""

import concurrent.futures
import hashlib
import pathlib
import shutil
import signal
import tempfile
import unittest

import processes

from tests import site

_FAST = "[timing]\nlease_seconds = 1.5\nelection_seconds = 0.3\n" + (
    "watch_seconds = 0.2\nhost_silence_seconds = 0.8\n"
)


def _rules(number):
    return site.RULES + f"# number {number}\n"


class ControlHostsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.site = processes.ControlSite(
            folder=self.folder,
            count=3,
            more=_FAST,
            more_peers="silence_seconds = 0.8\n",
        )
        self.addCleanup(self.site.close)

    def _apply(self, number, *more, through=""):
        path = self.folder / f"rules{number}.txt"
        path.write_text(_rules(number))
        return self.site.operate(
            "rules", "apply", str(path), *more, through=through
        )

    def _text(self):
        return self.site.view("rules", "show")["text"]

    def test_killed_leader_loses_no_accepted_change(self):
        """Operators see every accepted change, and go on changing.

        The leader is killed right after each acknowledgement, three times in
        a row; the others elect, the killed one comes back.
        """
        for number in range(3):
            leader = self.site.wait_leader()
            self.assertEqual(self._apply(number).returncode, 0)
            self.site.hosts[leader].kill()
            self.site.wait_leader()
            self.assertEqual(self._text(), _rules(number))
            self.site.restart(leader).wait_ready()

    def test_frozen_leader_cannot_serve_a_withdrawn_key(self):
        """The withdrawn key works nowhere, also on the host that froze.

        The leader is stopped with a running lease; the others elect, the key
        is withdrawn, and the operator waits until that is in force. Then the
        old leader goes on where it was.
        """
        self._apply(0)
        secret = "a-key-of-the-band"
        path = self.folder / "with-key.txt"
        digest = hashlib.sha256(secret.encode()).hexdigest()
        path.write_text(_rules(0) + f"key k team=band sha256={digest} # x\n")
        self.site.operate("rules", "apply", str(path), "--wait=10")
        frozen = self.site.hosts[self.site.wait_leader()]

        def ask():
            return processes.fetch(
                f"{frozen.url}/v1/models",
                headers={"Authorization": f"Bearer {secret}"},
            )[0]

        self.assertEqual(ask(), 200)
        frozen.signal(signal.SIGSTOP)
        self.addCleanup(frozen.signal, signal.SIGCONT)
        others = [h for h in self.site.hosts.values() if h is not frozen]
        self.site.hosts = {host.name: host for host in others}
        self.site.wait_leader()
        revoked = self.site.operate("key", "revoke", "k", "--wait=10")
        self.assertEqual(revoked.returncode, 0, revoked.stderr)
        frozen.signal(signal.SIGCONT)
        self.assertIn(ask(), (401, 503))
        processes.wait_for(lambda: ask() == 401, "the host is back")
        self.site.hosts[frozen.name] = frozen

    def test_lost_disk_then_a_second_loss(self):
        """Changes are accepted although two of the first three are gone.

        A host comes back with an empty disk: a new member that learns first.
        The operator takes the lost replica out. Right after the repair
        another host is lost for good.
        """
        self._apply(0)
        leader = self.site.wait_leader()
        lost, second = (n for n in self.site.hosts if n != leader)
        before = {r["identity"] for r in self.site.view("voter", "list")}
        self.site.hosts[lost].kill()
        shutil.rmtree(self.site.hosts[lost].data_folder)
        self.site.restart(lost)
        rows = processes.wait_for(
            lambda: [
                r
                for r in self.site.view("voter", "list")
                if r["identity"] not in before
            ],
            "the newcomer learns",
        )
        (gone,) = (
            r["identity"]
            for r in self.site.view("voter", "list")
            if r["name"] == lost and r["identity"] in before
        )
        self.assertNotEqual(rows[0]["identity"], gone)
        removed = self.site.operate("voter", "remove", gone)
        self.assertEqual(removed.returncode, 0, removed.stderr)
        processes.wait_for(
            lambda: (
                gone
                not in {r["identity"] for r in self.site.view("voter", "list")}
                and sorted(self.site.voters()) == ["c0", "c1", "c2"]
            ),
            "the repair is done",
        )
        self.site.hosts.pop(second).kill()
        self.assertEqual(self._apply(1).returncode, 0)
        self.assertEqual(self._text(), _rules(1))

    def test_racing_operators_with_equal_numbers(self):
        """Of six changes of one version one wins; the others are told.

        They go through different hosts at the same moment.
        """
        self._apply(0)
        names = list(self.site.hosts) * 2
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            done = list(
                pool.map(
                    lambda n: self._apply(
                        n + 10, "--expected-version=1", through=names[n]
                    ),
                    range(6),
                )
            )
        statuses = sorted(d.returncode for d in done)
        self.assertEqual(statuses, [0, 3, 3, 3, 3, 3])
        (winner,) = (n for n, d in enumerate(done) if d.returncode == 0)
        self.assertEqual(self._text(), _rules(winner + 10))
