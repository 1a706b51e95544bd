package main

import (
	"encoding/json"
	"fmt"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/connection/platform"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/config"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

// exampleOffset is an offset that a stream reaches after about a month at 40
// records/s.
const exampleOffset ident.Offset = 100_000_000

// checkpointBytes and resultBytes are assumptions, since callers choose the real
// sizes.
const (
	checkpointBytes = 1024
	resultBytes     = 64
	jobBodyBytes    = 128
	digestBytes     = 32
)

// encodedSizes holds the encoded sizes, in bytes, that the computed tables use.
type encodedSizes struct {
	heartbeat int
	// jobRecords is the size of all records of a job from acceptance to its end.
	jobRecords  int
	rulesChange map[int]int
	hello       int
	forward     int
	answer      int
	summary     float64
	zoneTotal   int
	leaseGrant  int
	// shardSnapshot is an estimate for one shard.
	shardSnapshot int
}

func encodedRecordBytes(body record.Record) int {
	random := newRandom()
	entry, err := codec.EncodeRecord(record.Envelope{
		ID:     ident.RecordID(fmt.Sprintf("%s/%d", incarnation(20), random.IntN(1_000_000))),
		Writer: incarnation(20),
		Record: body,
	})
	if err != nil {
		fmt.Println("encoding failed:", err)
		return 0
	}
	return len(entry)
}

func encodedPeerBytes(kind codec.PeerKind, sequence uint64, message any) int {
	frame, err := codec.EncodePeer(codec.PeerFrame{Kind: kind, Sequence: sequence, To: incarnation(20), Message: message})
	if err != nil {
		fmt.Println("encoding failed:", err)
		return 0
	}
	return len(frame)
}

func exampleJob() work.Job {
	random := newRandom()
	return work.Job{
		ID: ident.JobID(randomID(random)), Caller: "ranger-station-12", Service: "svc-012-01",
		Body: make([]byte, jobBodyBytes), Demand: taskDemand, DeclaredDuration: time.Hour,
	}
}

func measureEncodings() encodedSizes {
	sizes := encodedSizes{rulesChange: map[int]int{}}
	measureRecords(&sizes)
	measureSnapshots(&sizes)
	measureMessages(&sizes)
	printListSizes()
	return sizes
}

func measureRecords(sizes *encodedSizes) {
	job := exampleJob()
	t := newTable("Log records (encoded)", "record", "bytes")
	printRow := func(label string, body record.Record) int {
		bytes := encodedRecordBytes(body)
		t.row(label, formatCount(bytes))
		return bytes
	}
	printRow("Join", record.Join{PeerAddress: "10.1.6.20:7400", Zone: "attiki-b", Region: "attiki"})
	sizes.heartbeat = printRow("Heartbeat", record.Heartbeat{AppliedOffset: exampleOffset})
	printRow("Leave", record.Leave{})
	printRow("Suspect", record.Suspect{Member: incarnation(3), Last: exampleOffset})
	printRow("Home", record.HomeClaim{})
	sizes.jobRecords += printRow(fmt.Sprintf("Accepted, body %d B", jobBodyBytes), record.JobAccepted{Job: job})
	sizes.jobRecords += printRow("Placing", record.AttemptPlaced{Job: job.ID, Attempt: 1, Worker: workerID(1099), Address: "10.128.255.255:7000", Zone: "zone-7", Region: "region-3"})
	sizes.jobRecords += printRow("Started", record.AttemptStarted{Job: job.ID, Attempt: 1})
	sizes.jobRecords += printRow(fmt.Sprintf("Done, result %d B", resultBytes), record.JobDone{Job: job.ID, Attempt: 1, Outcome: fault.Ran, Result: make([]byte, resultBytes)})
	sizes.jobRecords += printRow("Evicted, no checkpoint", record.AttemptEnded{Job: job.ID, Attempt: 1, Reason: fault.WorkerLost})
	printRow(fmt.Sprintf("Evicted, checkpoint %d B", checkpointBytes), record.AttemptEnded{Job: job.ID, Attempt: 1, Checkpoint: make([]byte, checkpointBytes)})
	printRow("Canceled", record.JobCanceled{Job: job.ID})
	printRow("Intent", record.Intent{Caller: job.Caller, Key: randomID(newRandom()), Digest: make([]byte, digestBytes)})
	printRow("Outcome, body 256 B", record.Outcome{Caller: job.Caller, Key: randomID(newRandom()), Outcome: fault.Ran, Body: make([]byte, 256)})
	for _, services := range serviceCounts {
		text := rulesText(services)
		sizes.rulesChange[services] = printRow(fmt.Sprintf("Change, %d teams, %d services", teamCount, teamCount*services),
			record.RulesChange{Base: exampleOffset, Rules: text, Author: "platform-desk"})
	}
	t.row("all five records of a job", formatCount(sizes.jobRecords))
	t.end()
}

// storedJob approximates the state that has to be kept for a job when its
// records are applied. The real state is not implemented yet, so its size is an
// estimate.
type storedJob struct {
	Job    work.Job       `cbor:"1,keyasint"`
	Status work.JobStatus `cbor:"2,keyasint"`
	// Checkpoint is the checkpoint of the last evicted attempt.
	Checkpoint []byte `cbor:"3,keyasint,omitempty"`
}

func storedJobs(jobs, checkpoint int) map[ident.JobID]*storedJob {
	random := newRandom()
	stored := make(map[ident.JobID]*storedJob, jobs)
	for range jobs {
		job := exampleJob()
		job.ID = ident.JobID(randomID(random))
		stored[job.ID] = &storedJob{Job: job, Status: work.JobStatus{
			ID: job.ID, Caller: job.Caller, Service: job.Service, State: work.JobRunning, Attempt: 1, Worker: workerID(1099),
		}, Checkpoint: make([]byte, checkpoint)}
	}
	return stored
}

func measureSnapshots(sizes *encodedSizes) {
	t := newTable(fmt.Sprintf("Snapshots (encoded; limit of a record %s)", formatBytes(codec.MaxRecordBytes)), "state", "bytes")
	for _, n := range instanceCounts {
		t.row(fmt.Sprintf("members, %d and 512 departures", n), formatCount(encodedStateBytes(membershipState(n).Snapshot())))
	}
	for _, services := range serviceCounts {
		text := rulesText(services)
		snapshot := config.Snapshot{Version: exampleOffset, Text: text, Author: "platform-desk", History: longestHistory()}
		t.row(fmt.Sprintf("config, file %s, 64 refused changes", formatBytes(float64(len(text)))), formatCount(encodedStateBytes(snapshot)))
	}
	sizes.shardSnapshot = printShardRow(t, shardCount, 0, 0)
	printShardRow(t, shardCount, jobsPerDay, 0)
	printShardRow(t, shardCount, 0, checkpointBytes)
	printShardRow(t, 4*shardCount, jobsPerDay, checkpointBytes)
	t.end()
}

// printShardRow prints and returns the estimated snapshot size of one shard. The
// shard holds its part of the running jobs and of the given number of finished
// jobs.
func printShardRow(t *table, shards, finished, checkpoint int) int {
	jobs := (runningTasks + finished) / shards
	bytes := encodedStateBytes(storedJobs(jobs, checkpoint))
	t.row(fmt.Sprintf("job shard, 1 of %d, %d jobs (%d finished), body %d B, checkpoint %d B (estimate)",
		shards, jobs, finished/shards, jobBodyBytes, checkpoint), formatCount(bytes))
	return bytes
}

// longestHistory returns a history with the largest numbers of entries and
// problems that a state keeps.
func longestHistory() []config.VerdictEntry {
	_, problems := rules.Parse("rules", "nonsense that no rule begins with\n")
	history := make([]config.VerdictEntry, config.MaxHistory)
	for i := range history {
		history[i] = config.VerdictEntry{ID: ident.RecordID(randomID(newRandom())), Offset: exampleOffset, Base: exampleOffset, Author: "platform-desk", Verdict: config.Refused}
		for range 8 {
			history[i].Problems = append(history[i].Problems, problems[0].String())
		}
	}
	return history
}

func encodedStateBytes(state any) int {
	encoded, err := codec.EncodeState(state)
	if err != nil {
		fmt.Println("encoding failed:", err)
	}
	return len(encoded)
}

func measureMessages(sizes *encodedSizes) {
	job := exampleJob()
	t := newTable("Peer messages (encoded, without 6 to 8 bytes of WebSocket header)", "message", "bytes")
	printRow := func(label string, kind codec.PeerKind, message any) int {
		bytes := encodedPeerBytes(kind, 1_000_000, message)
		t.row(label, formatCount(bytes))
		return bytes
	}
	request := work.Request{ID: ident.RequestID(job.ID), Caller: job.Caller, Service: job.Service, Remaining: 2 * time.Second, Worker: workerID(1099), Key: randomID(newRandom())}
	sizes.hello = printRow("Hello", codec.KindHello, &codec.Hello{From: incarnation(13), Zone: "attiki-b", Region: "attiki", AppliedOffset: exampleOffset, ConfigVersion: exampleOffset})
	sizes.forward = printRow("Forward, no body", codec.KindForward, &codec.Forward{Number: 1_000_000, Request: request})
	head := printRow("AnswerHead", codec.KindAnswerHead, &codec.AnswerHead{Request: request.ID, Outcome: fault.Ran, Total: 100})
	frame := printRow("AnswerFrame, no body", codec.KindAnswerFrame, &codec.AnswerFrame{Request: request.ID, Last: true})
	sizes.answer = head + frame
	one := printRow("Summary, 1 worker", codec.KindSummary, exampleSummary(1))
	many := printRow("Summary, 101 workers", codec.KindSummary, exampleSummary(101))
	sizes.summary = float64(many-one) / 100
	t.row("Summary, each further worker", fmt.Sprintf("%.1f", sizes.summary))
	sizes.zoneTotal = printRow("ZoneTotal", codec.KindZoneTotal, &codec.ZoneTotal{Zone: "attiki-b", Free: workerCapacity, Queue: 100})
	grantRequest := printRow("Promise", codec.KindLeaseGrantRequest, &codec.LeaseGrantRequest{Epoch: ident.Epoch(exampleOffset), Sent: time.Hour})
	sizes.leaseGrant = grantRequest + printRow("Promised", codec.KindLeaseGrantReply, &codec.LeaseGrantReply{Epoch: ident.Epoch(exampleOffset), Sent: time.Hour, Granted: true, ConfigVersion: exampleOffset})
	for _, services := range serviceCounts {
		printRow(fmt.Sprintf("ConfigOffer, %d services", teamCount*services), codec.KindConfigOffer,
			&codec.ConfigOffer{Version: exampleOffset, Author: "platform-desk", Rules: rulesText(services)})
	}
	t.end()
}

func exampleSummary(count int) *codec.Summary {
	message := &codec.Summary{}
	for _, worker := range ownedWorkers(count) {
		message.Workers = append(message.Workers, workers.Summarize(worker))
	}
	return message
}

// printListSizes prints the size of the platform's instance list, which is
// always read as a whole.
func printListSizes() {
	t := newTable("Instance list of the platform (JSON, without headers)", "workers", "bytes", "each 10 s, B/s")
	for _, size := range workerCounts {
		var list []platform.ListedInstance
		for _, w := range listedWorkers(size) {
			list = append(list, platform.ListedInstance{
				ID: string(w.ID), Address: w.Address, Kind: "worker", Zone: w.Zone, Region: w.Region,
				Rack: w.Rack, State: "live", Capacity: w.Capacity,
			})
		}
		encoded, err := json.Marshal(list)
		if err != nil {
			fmt.Println("encoding failed:", err)
		}
		t.row(formatCount(size), formatCount(len(encoded)), formatBytes(float64(len(encoded))/10))
	}
	t.end()
}
