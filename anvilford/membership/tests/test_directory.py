"""Tests for the merge rules of the membership directory."""

import itertools
import random

import attrs

from anvilford.membership import MembershipDirectory
from anvilford.model import Incarnation
from anvilford.protocol import EntryInfo
from anvilford.protocol import Successor
from anvilford.protocol import VmInfo
from anvilford.protocol import VmRole
from anvilford.protocol import VmState
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

TARGET = VmInfo("t1", VmRole.TARGET, "z", "10.1.0.1:1", "s", VmState.LIVE)
ENTRY = VmInfo("e1", VmRole.ENTRY, "z", "10.0.0.1:1", "", VmState.LIVE)
OWNER = Incarnation("z", "10.0.0.1:1", "a1")


@fixture
def directory():
    """An empty directory."""
    yield MembershipDirectory()


def test_merges_do_not_depend_on_order():
    """The merged state must not depend on the order of updates.

    Otherwise entries that received the same updates in different order would
    disagree for good.
    """
    leaving = attrs.evolve(TARGET, state=VmState.LEAVING)
    left = MembershipDirectory()
    marks = [left.create_mark("t1", drained, "x") for drained in (True, False)]
    marks.append(MembershipDirectory().create_mark("t1", True, "y"))
    holders = [Incarnation("z", "10.0.0.2:1", token) for token in "bc"]
    successors = [
        Successor(OWNER, holder, counter, sealed)
        for holder, counter, sealed in zip(
            holders, (1, 2), (True, False), strict=True
        )
    ]
    updates = [
        *(lambda d, vm=vm: d.merge_vm(vm, 0.0) for vm in (TARGET, leaving)),
        *(lambda d, m=m: d.merge_mark(m) for m in marks),
        *(lambda d, s=s: d.merge_successor(s) for s in successors),
    ]
    rng = random.Random(1)
    fingerprints = set()
    for _ in range(50):
        directory = MembershipDirectory()
        for apply_update in rng.sample(updates * 2, len(updates) * 2):
            apply_update(directory)
        fingerprints.add(directory.fingerprint())
    assert len(fingerprints) == 1


def test_old_list_does_not_add_a_removed_vm(directory):
    """A list older than the newest one must not add a removed VM again.

    A lagging replica of the platform can return an old list; the removed VM
    would then get new work.
    """
    directory.merge_list(5, [TARGET, ENTRY], 0.0)
    directory.merge_list(6, [ENTRY], 1.0)
    assert directory.targets() == []
    directory.merge_list(5, [TARGET, ENTRY], 2.0)
    directory.merge_list(4, [attrs.evolve(TARGET, vm_id="t0")], 2.0)
    assert directory.targets() == []


def test_lagging_list_does_not_remove_a_new_vm(directory):
    """A new VM must not be removed because the list lags behind the peers.

    It is removed if it is still missing from the list after
    `LIST_LAG_LIMIT_S`.
    """
    directory.merge_vm(TARGET, 0.0)
    directory.merge_list(7, [ENTRY], 1.0)
    assert directory.targets() == [TARGET]
    directory.merge_list(8, [ENTRY], 100.0)
    assert directory.targets() == []


def test_dropped_tombstones_are_not_added_again(directory):
    """A tombstone that was dropped must not be added again from a peer.

    Otherwise entries would send the tombstone to each other forever.
    """
    gone = attrs.evolve(TARGET, state=VmState.GONE)
    directory.merge_vm(TARGET, 0.0)
    directory.merge_vm(gone, 1.0)
    directory.expire(2000.0)
    directory.merge_vm(gone, 2001.0)
    assert directory.vms == {}


def test_marks_are_dropped_with_their_vm(directory):
    """The mark of a removed VM must not be sent and must be dropped later.

    Otherwise the marks of replaced VMs accumulate.
    """
    directory.merge_vm(TARGET, 0.0)
    mark = directory.create_mark("t1", True, "x")
    assert directory.active_marks() == [mark]
    directory.merge_vm(attrs.evolve(TARGET, state=VmState.GONE), 1.0)
    assert directory.active_marks() == []
    directory.expire(2000.0)
    directory.merge_mark(mark)
    directory.expire(2001.0)
    assert directory.marks == {}


def test_drained_and_leaving_targets_get_no_new_work(directory):
    """A target that is drained or leaving must not get new work."""
    directory.merge_vm(TARGET, 0.0)
    for drained in (True, False):
        directory.create_mark("t1", drained, "x")
        assert directory.accepts_work(TARGET) is not drained
    directory.record_leaving("t1", 1.0)
    assert not directory.accepts_work(directory.targets()[0])


def test_repeated_heartbeats_do_not_hide_a_dead_entry(directory):
    """A repeated heartbeat must not keep a dead entry from being suspected.

    Peers relay the last heartbeat of an entry even after it has died. A pause
    of this process does not count toward the age of a heartbeat.
    """
    info = EntryInfo(OWNER, 1, 1.0, False, 0)
    directory.merge_entry(info, 0.0)
    for now, token in itertools.product((1.0, 2.0), "ab"):
        directory.merge_entry(info, now)
        assert directory.is_suspect(token, now, 3.0)
    assert directory.is_suspect("a1", 3.1, 3.0)
    directory.discount_pause(10.0)
    assert not directory.is_suspect("a1", 12.9, 3.0)
