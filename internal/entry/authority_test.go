package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/celllink"
	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
	"poplarvalve/test/virtualtime"
)

var testVoters = []election.Voter{{Address: "10.0.0.1:1"}, {Address: "10.0.0.2:1"}, {Address: "10.0.0.3:1"}}

// hear lets the instance hear another one, number n of testVoters from 1 on, that knows a
// term and has received a heartbeat that was sent at echoed.
func hear(l *leaderDirectory, n int, epoch int64, echoed time.Time) {
	l.HandleHeartbeat(cellcodec.LinkHeartbeat{Nonce: uint64(n), Sender: &testVoters[n-1],
		KnownTerms: []cellcodec.KnownTerm{{Cell: 0, Epoch: epoch}}}, echoed)
}

// testTermLeadership returns the leadership of a term with testVoters.
func testTermLeadership(t *testing.T) *leadership {
	l := testLeadership(t)
	l.term = election.Term{Epoch: 5, Voters: testVoters}
	l.confirmation.start(testVoters)
	l.confirmation.recoveredAt = time.Now()
	l.entry.leaders.recordRead(0, 5)
	return l
}

// Guards against a leader cut off from the log that extends leases after the next leader has
// waited them out: tasks ran twice for up to 50 s.
func TestLeaderWithoutRenewalExtendsLeasesOnlyByMajority(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := testTermLeadership(t)
		defer l.entry.options.Journal.Close()
		assert.Equal(t, l.leaseAuthority(), election.AuthorityRenewal)
		time.Sleep(startAuthorityPeriod + time.Millisecond)
		l.updateConfirmation(time.Now())
		assert.Assert(t, !l.Authorized(), "no voter but itself has confirmed the term")
		hear(l.entry.leaders, 2, 5, time.Now())
		l.updateConfirmation(time.Now())
		assert.Equal(t, l.leaseAuthority(), election.AuthorityQuorum)
		time.Sleep(election.ConfirmationMaxAge)
		l.updateConfirmation(time.Now())
		assert.Assert(t, !l.Authorized(), "the confirmation is too old")
		hear(l.entry.leaders, 3, 5, time.Now())
		l.updateConfirmation(time.Now())
		assert.Assert(t, l.Authorized())
		hear(l.entry.leaders, 2, 9, time.Now())
		assert.Assert(t, !l.Authorized(), "an instance knows a later term")
	})
}

// Guards against a leader that goes on for longer than the next leader waits without a
// majority.
func TestConfirmedAuthorityIsBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := testTermLeadership(t)
		defer l.entry.options.Journal.Close()
		time.Sleep(election.MaxConfirmedAuthority + time.Millisecond)
		hear(l.entry.leaders, 2, 5, time.Now())
		l.updateConfirmation(time.Now())
		assert.Assert(t, !l.Authorized())
	})
}

// Guards against a confirmation that a slow link or a slow process delivers late: it says
// nothing about the time after the heartbeat that it answers.
func TestConfirmationCountsFromHeartbeatItAnswers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := testTermLeadership(t)
		defer l.entry.options.Journal.Close()
		sent := time.Now()
		time.Sleep(startAuthorityPeriod + time.Millisecond)
		hear(l.entry.leaders, 2, 5, sent)
		hear(l.entry.leaders, 3, 5, time.Time{})
		l.updateConfirmation(time.Now())
		assert.Assert(t, !l.Authorized())
	})
}

// Guards against an instance that confirms an earlier term after a restart, although the
// process before it had confirmed the next one.
func TestInstanceConfirmsNoTermBeforeItHasReadTheNewest(t *testing.T) {
	l := testEntry(t).leaders
	l.recordLeader(cellcodec.Leader{Cell: 0, Epoch: 5, Address: "10.0.0.2:1", Nonce: 2})
	hear(l, 2, 5, time.Now())
	heartbeat, _ := l.NextHeartbeat(celllink.RemoteManifest{Version: -1}, 0)
	assert.Equal(t, len(heartbeat.KnownTerms), 0)
	l.recordRead(0, 7) // The term of epoch 7 was released, so it has no leader.
	heartbeat, _ = l.NextHeartbeat(celllink.RemoteManifest{Version: -1}, 0)
	assert.DeepEqual(t, heartbeat.KnownTerms[0].Epoch, int64(7))
	hear(l, 3, 9, time.Now())
	heartbeat, _ = l.NextHeartbeat(celllink.RemoteManifest{Version: -1}, 0)
	assert.DeepEqual(t, heartbeat.KnownTerms[0].Epoch, int64(9))
}

// Guards against two lists of voters that have no instance in common: a renewal without a
// reply may have stored its list, and the voters of an earlier leader must stay until enough
// of them have confirmed the term.
func TestVotersChangeOnlyOnceEarlierTermsEnded(t *testing.T) {
	l := testTermLeadership(t)
	hear(l.entry.leaders, 2, 3, time.Now())
	assert.DeepEqual(t, l.nextVoters(testVoters), testVoters)
	l.confirmation.earlierBlocked.Store(true)
	stored := testVoters[:1]
	first := l.nextVoters(stored)
	assert.Equal(t, len(first), 2)
	hear(l.entry.leaders, 3, 5, time.Now())
	assert.DeepEqual(t, l.nextVoters(stored), first)
	quorum := l.confirmation.quorum.Load()
	assert.DeepEqual(t, *quorum, election.Quorum{Stored: stored, Proposed: first})
}

// Guards against bytes of a broken peer in the term record, where every instance reads them.
func TestOddAddressIsNoVoter(t *testing.T) {
	d := newVoterDirectory()
	now := time.Now()
	long := make([]byte, maxVoterAddressBytes)
	for i, address := range []string{"", "host", ":1", "10.0.0.1:", string(long) + ":1"} {
		d.record(now, cellcodec.LinkHeartbeat{Nonce: uint64(i), Sender: &election.Voter{Address: address}}, now)
	}
	assert.Equal(t, len(d.heardInstances(now)), 0)
}

// Guards against confirmations in each heartbeat, which double its size on all links.
func TestConfirmationsAreRequestedOnlyWhereNeeded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := testTermLeadership(t)
		defer l.entry.options.Journal.Close()
		assert.Assert(t, !l.entry.leaders.WantsConfirmation(), "the instance leads no cell")
		l.entry.leaders.setLeadership(0, l)
		assert.Assert(t, l.entry.leaders.WantsConfirmation(), "the term is not confirmed")
		hear(l.entry.leaders, 2, 5, time.Now())
		l.updateConfirmation(time.Now())
		assert.Assert(t, !l.entry.leaders.WantsConfirmation())
		time.Sleep(2*renewalPeriod + time.Millisecond)
		assert.Assert(t, l.entry.leaders.WantsConfirmation(), "the term is not renewed")
	})
}

// Guards against starts for as long as a majority confirms the term: the next leader relies on
// it that they end 4 s after the renewal.
func TestMajorityDoesNotProlongStarts(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := testTermLeadership(t)
		defer l.entry.options.Journal.Close()
		assert.Assert(t, l.MayStart())
		time.Sleep(startAuthorityPeriod + time.Millisecond)
		hear(l.entry.leaders, 2, 5, time.Now())
		l.updateConfirmation(time.Now())
		assert.Assert(t, l.Authorized() && !l.MayStart())
	})
}

// Guards against a leader that goes on after a release whose reply was lost: another instance
// claims a released term at once, and waits for less than 4 s and a lease.
func TestReleasedTermNeedsMajority(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := testTermLeadership(t)
		defer l.entry.options.Journal.Close()
		l.releasing.Store(true)
		assert.Assert(t, !l.Authorized() && !l.MayStart())
		hear(l.entry.leaders, 2, 5, time.Now())
		l.updateConfirmation(time.Now())
		assert.Assert(t, l.Authorized() && !l.MayStart())
	})
}

// silentWorkerStarts returns how many tasks the leader of a later term starts in place of a
// silent worker within a time, if the voters numbered told confirm the term at toldAt and its
// last renewal is sent at lastRenewal.
func silentWorkerStarts(t *testing.T, wait, lastRenewal, toldAt time.Duration, told ...int) int {
	starts := 0
	virtualtime.Test(t, func(t *testing.T) {
		l := testTermLeadership(t)
		defer l.entry.options.Journal.Close()
		l.renewalRequests = make(chan struct{}, 1)
		l.cancel = func() {}
		now := time.Now()
		config := earlierTermConfig(workerlink.LeaseDuration)
		config.Epoch, config.EndedJobRetention = l.term.Epoch, time.Hour
		l.cell = cell.New(config)
		infos := []cell.WorkerInfo{{ID: "a", Pool: "p", Capacity: cell.Size{CPU: 1000}}, {ID: "b", Pool: "p", Capacity: cell.Size{CPU: 1000}}}
		job := cell.JobRecord{ID: "00000000000000aa", Job: jobspec.Job{Steps: []jobspec.Step{{Count: 1, CPUMillis: 100}}}, Terms: cell.QueueTerms{Queue: "q", Pool: "p"}}
		l.cell.Restore(now, []cell.JobRecord{job}, nil, infos)
		l.cell.UpdateWorkers(now, infos)
		for time.Since(now) < wait {
			if time.Since(now) >= toldAt {
				for _, n := range told {
					hear(l.entry.leaders, n, l.term.Epoch, time.Now())
				}
			}
			if time.Since(now) <= lastRenewal {
				renewed := boottime.Now()
				l.lastRenewal.Store(&renewed)
				l.cell.TermRenewed(renewed.Time())
			}
			l.cell.ApplyReport(time.Now(), cell.Report{Worker: "a", Incarnation: 1, Sent: time.Now(), Complete: true})
			l.cell.MarkUnresponsive(time.Now(), "b", time.Time{})
			l.tick()
			effects := l.cell.TakeEffects(time.Now())
			starts += len(effects.Starts)
			if effects.Write != nil {
				l.cell.MarkStored(time.Now(), effects.Write.Number)
			}
			time.Sleep(tickPeriod)
		}
	})
	return starts
}

// Guards against a next leader that starts the tasks of silent workers while an earlier one may
// still extend their leases, and against one that waits for the bound although it needn't.
func TestNextLeaderWaitsUntilEarlierLeadersCanNotExtendLeases(t *testing.T) {
	const lease, confirmed = workerlink.LeaseDuration, startAuthorityPeriod - election.TermLease + workerlink.LeaseDuration
	assert.Equal(t, silentWorkerStarts(t, election.MaxConfirmedAuthority+lease, time.Hour, 0), 0, "no voter but the leader has confirmed the term")
	assert.Equal(t, silentWorkerStarts(t, election.MaxConfirmedAuthority+lease+2*time.Second, time.Hour, 0), 1)
	assert.Equal(t, silentWorkerStarts(t, confirmed, time.Hour, 0, 2), 0, "leases of the earlier leader may not have expired")
	assert.Equal(t, silentWorkerStarts(t, confirmed+2*time.Second, time.Hour, 0, 2), 1)
	const late, confirmedLate = 20 * time.Second, 20*time.Second + election.ConfirmationMaxAge + lease
	assert.Equal(t, silentWorkerStarts(t, confirmedLate, time.Hour, late, 2), 0, "an earlier leader may have got its last confirmation just before")
	assert.Equal(t, silentWorkerStarts(t, confirmedLate+2*time.Second, time.Hour, late, 2), 1)
}

// Guards against a leader that waits out the leases of earlier leaders while a later one, which
// it hasn't heard of, extends them.
func TestLeaderWithoutRenewalWaitsOutNoWorker(t *testing.T) {
	const lastRenewal = 6 * time.Second
	assert.Equal(t, silentWorkerStarts(t, lastRenewal+startAuthorityPeriod, lastRenewal, 0, 2), 0)
}

// Guards against a leader that counts itself among the voters although it knows a later term.
func TestReplacedLeaderDoesNotConfirmItself(t *testing.T) {
	l := testTermLeadership(t)
	l.entry.leaders.recordRead(0, 9)
	l.updateConfirmation(time.Now())
	hear(l.entry.leaders, 2, 5, time.Now())
	l.updateConfirmation(time.Now())
	assert.Assert(t, l.confirmation.majoritySince.Load().IsZero())
	assert.Assert(t, !l.confirmation.earlierBlocked.Load())
}

// Guards against voters that can never be replaced once half of them are gone for good: each
// next leader would wait for the bound.
func TestVotersMayChangeAfterBoundWithoutMajority(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := testTermLeadership(t)
		defer l.entry.options.Journal.Close()
		time.Sleep(election.MaxConfirmedAuthority - time.Millisecond)
		l.updateConfirmation(time.Now())
		assert.Assert(t, !l.confirmation.earlierBlocked.Load())
		time.Sleep(time.Millisecond)
		l.updateConfirmation(time.Now())
		assert.Assert(t, l.confirmation.earlierBlocked.Load())
	})
}

// Guards against a confirmation of an earlier term that arrives on another link after that of a
// later one.
func TestLateConfirmationOfEarlierTermDoesNotCount(t *testing.T) {
	d := newVoterDirectory()
	now := time.Now()
	for _, epoch := range []int64{9, 5} {
		d.record(now, cellcodec.LinkHeartbeat{Nonce: 2, Sender: &testVoters[1], KnownTerms: []cellcodec.KnownTerm{{Epoch: epoch}}}, now)
	}
	assert.Equal(t, len(d.confirmations(0, 5)), 0)
	assert.Equal(t, len(d.confirmations(0, 9)), 1)
}
