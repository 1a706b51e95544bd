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

// offset is one that a stream reaches after about a month at 40 records/s.
const offset ident.Offset = 100_000_000

// checkpointBytes and resultBytes are assumed; callers choose the real sizes.
const (
	checkpointBytes = 1024
	resultBytes     = 64
	jobBodyBytes    = 128
	digestBytes     = 32
)

// encodings are sizes in bytes of what other measurements add up.
type encodings struct {
	heartbeat int
	// life holds the records of a job from acceptance to its end.
	life      int
	change    map[int]int
	hello     int
	forward   int
	answer    int
	summary   float64
	zoneTotal int
	promise   int
	// shardSnapshot is the estimate for one of the shards.
	shardSnapshot int
}

func recordBytes(body record.Record) int {
	random := newRandom()
	entry, err := codec.EncodeRecord(record.Envelope{
		ID:     ident.RecordID(fmt.Sprintf("%s/%d", incarnation(20), random.IntN(1_000_000))),
		Writer: incarnation(20),
		Record: body,
	})
	if err != nil {
		fmt.Println("not encoded:", err)
		return 0
	}
	return len(entry)
}

func peerBytes(kind codec.PeerKind, sequence uint64, message any) int {
	frame, err := codec.EncodePeer(codec.PeerFrame{Kind: kind, Sequence: sequence, To: incarnation(20), Message: message})
	if err != nil {
		fmt.Println("not encoded:", err)
		return 0
	}
	return len(frame)
}

func exampleJob() work.Job {
	random := newRandom()
	return work.Job{
		ID: ident.JobID(name(random)), Caller: "ranger-station-12", Service: "svc-012-01",
		Body: make([]byte, jobBodyBytes), Demand: demand, Duration: time.Hour,
	}
}

func measureEncodings() encodings {
	sizes := encodings{change: map[int]int{}}
	measureRecords(&sizes)
	measureSnapshots(&sizes)
	measureMessages(&sizes)
	measureList()
	return sizes
}

func measureRecords(sizes *encodings) {
	job := exampleJob()
	t := newTable("Log records (encoded)", "record", "bytes")
	print := func(label string, body record.Record) int {
		bytes := recordBytes(body)
		t.row(label, count(bytes))
		return bytes
	}
	print("Join", record.Join{PeerAddress: "10.1.6.20:7400", Zone: "attiki-b", Region: "attiki"})
	sizes.heartbeat = print("Heartbeat", record.Heartbeat{Folded: offset})
	print("Leave", record.Leave{})
	print("Suspect", record.Suspect{Member: incarnation(3), Last: offset})
	print("Home", record.Home{})
	sizes.life += print(fmt.Sprintf("Accepted, body %d B", jobBodyBytes), record.Accepted{Job: job})
	sizes.life += print("Placing", record.Placing{Job: job.ID, Attempt: 1, Worker: workerID(1099), Address: "10.128.255.255:7000", Zone: "zone-7", Region: "region-3"})
	sizes.life += print("Started", record.Started{Job: job.ID, Attempt: 1})
	sizes.life += print(fmt.Sprintf("Done, result %d B", resultBytes), record.Done{Job: job.ID, Attempt: 1, Outcome: fault.Ran, Result: make([]byte, resultBytes)})
	sizes.life += print("Evicted, no checkpoint", record.Evicted{Job: job.ID, Attempt: 1, Reason: fault.WorkerLost})
	print(fmt.Sprintf("Evicted, checkpoint %d B", checkpointBytes), record.Evicted{Job: job.ID, Attempt: 1, Checkpoint: make([]byte, checkpointBytes)})
	print("Canceled", record.Canceled{Job: job.ID})
	print("Intent", record.Intent{Caller: job.Caller, Key: name(newRandom()), Digest: make([]byte, digestBytes)})
	print("Outcome, body 256 B", record.Outcome{Caller: job.Caller, Key: name(newRandom()), Outcome: fault.Ran, Body: make([]byte, 256)})
	for _, services := range serviceCounts {
		text := rulesText(services)
		sizes.change[services] = print(fmt.Sprintf("Change, %d teams, %d services", teamCount, teamCount*services),
			record.Change{Base: offset, Rules: text, Author: "platform-desk"})
	}
	t.row("life of a job, five records", count(sizes.life))
	t.end()
}

// storedJob is what a fold has to keep of a job; the fold itself is not written
// yet, so its size is an estimate.
type storedJob struct {
	Job    work.Job       `cbor:"1,keyasint"`
	Status work.JobStatus `cbor:"2,keyasint"`
	// Checkpoint is what the last evicted attempt left.
	Checkpoint []byte `cbor:"3,keyasint,omitempty"`
}

func storedJobs(jobs, checkpoint int) map[ident.JobID]*storedJob {
	random := newRandom()
	stored := make(map[ident.JobID]*storedJob, jobs)
	for range jobs {
		job := exampleJob()
		job.ID = ident.JobID(name(random))
		stored[job.ID] = &storedJob{Job: job, Status: work.JobStatus{
			ID: job.ID, Caller: job.Caller, Service: job.Service, State: work.JobRunning, Attempt: 1, Worker: workerID(1099),
		}, Checkpoint: make([]byte, checkpoint)}
	}
	return stored
}

func measureSnapshots(sizes *encodings) {
	t := newTable(fmt.Sprintf("Snapshots (encoded; limit of a record %s)", amount(codec.MaxRecordBytes)), "state", "bytes")
	for _, n := range instanceCounts {
		t.row(fmt.Sprintf("members, %d and 512 departures", n), count(stateBytes(members(n).Snapshot())))
	}
	for _, services := range serviceCounts {
		text := rulesText(services)
		snapshot := config.Snapshot{Version: offset, Text: text, Author: "platform-desk", History: fullHistory()}
		t.row(fmt.Sprintf("config, file %s, 64 refused changes", amount(float64(len(text)))), count(stateBytes(snapshot)))
	}
	sizes.shardSnapshot = shardRow(t, shardCount, 0, 0)
	shardRow(t, shardCount, jobsPerDay, 0)
	shardRow(t, shardCount, 0, checkpointBytes)
	shardRow(t, 4*shardCount, jobsPerDay, checkpointBytes)
	t.end()
}

// shardRow prints the estimated snapshot of one shard with the running jobs and
// a number of finished ones over all shards.
func shardRow(t *table, shards, finished, checkpoint int) int {
	jobs := (runningTasks + finished) / shards
	bytes := stateBytes(storedJobs(jobs, checkpoint))
	t.row(fmt.Sprintf("job shard, 1 of %d, %d jobs (%d finished), body %d B, checkpoint %d B (estimate)",
		shards, jobs, finished/shards, jobBodyBytes, checkpoint), count(bytes))
	return bytes
}

// fullHistory holds the most problems that a state keeps.
func fullHistory() []config.Entry {
	_, problems := rules.Parse("rules", "nonsense that no rule begins with\n")
	history := make([]config.Entry, config.MaxHistory)
	for i := range history {
		history[i] = config.Entry{ID: ident.RecordID(name(newRandom())), Offset: offset, Base: offset, Author: "platform-desk", Verdict: config.Refused}
		for range 8 {
			history[i].Problems = append(history[i].Problems, problems[0].String())
		}
	}
	return history
}

func stateBytes(state any) int {
	encoded, err := codec.EncodeState(state)
	if err != nil {
		fmt.Println("not encoded:", err)
	}
	return len(encoded)
}

func measureMessages(sizes *encodings) {
	job := exampleJob()
	t := newTable("Peer messages (encoded, without 6 to 8 bytes of WebSocket header)", "message", "bytes")
	print := func(label string, kind codec.PeerKind, message any) int {
		bytes := peerBytes(kind, 1_000_000, message)
		t.row(label, count(bytes))
		return bytes
	}
	request := work.Request{ID: ident.RequestID(job.ID), Caller: job.Caller, Service: job.Service, Remaining: 2 * time.Second, Worker: workerID(1099), Key: name(newRandom())}
	sizes.hello = print("Hello", codec.KindHello, &codec.Hello{From: incarnation(13), Zone: "attiki-b", Region: "attiki", Folded: offset, ConfigVersion: offset})
	sizes.forward = print("Forward, no body", codec.KindForward, &codec.Forward{Number: 1_000_000, Request: request})
	head := print("AnswerHead", codec.KindAnswerHead, &codec.AnswerHead{Request: request.ID, Outcome: fault.Ran, Total: 100})
	frame := print("AnswerFrame, no body", codec.KindAnswerFrame, &codec.AnswerFrame{Request: request.ID, Last: true})
	sizes.answer = head + frame
	one := print("Summary, 1 worker", codec.KindSummary, summary(1))
	many := print("Summary, 101 workers", codec.KindSummary, summary(101))
	sizes.summary = float64(many-one) / 100
	t.row("Summary, each further worker", fmt.Sprintf("%.1f", sizes.summary))
	sizes.zoneTotal = print("ZoneTotal", codec.KindZoneTotal, &codec.ZoneTotal{Zone: "attiki-b", Free: capacity, Queue: 100})
	ask := print("Promise", codec.KindPromise, &codec.Promise{Epoch: ident.Epoch(offset), Sent: time.Hour})
	sizes.promise = ask + print("Promised", codec.KindPromised, &codec.Promised{Epoch: ident.Epoch(offset), Sent: time.Hour, Granted: true, ConfigVersion: offset})
	for _, services := range serviceCounts {
		print(fmt.Sprintf("ConfigOffer, %d services", teamCount*services), codec.KindConfigOffer,
			&codec.ConfigOffer{Version: offset, Author: "platform-desk", Rules: rulesText(services)})
	}
	t.end()
}

func summary(count int) *codec.Summary {
	message := &codec.Summary{}
	for _, worker := range owned(count) {
		message.Workers = append(message.Workers, workers.Summarize(worker))
	}
	return message
}

// measureList prints the size of the platform's instance list, which a reader
// gets whole.
func measureList() {
	t := newTable("Instance list of the platform (JSON, without headers)", "workers", "bytes", "each 10 s, B/s")
	for _, size := range workerCounts {
		var list []platform.ListedInstance
		for _, w := range listed(size) {
			list = append(list, platform.ListedInstance{
				ID: string(w.ID), Address: w.Address, Kind: "worker", Zone: w.Zone, Region: w.Region,
				Rack: w.Rack, State: "live", Capacity: w.Capacity,
			})
		}
		encoded, err := json.Marshal(list)
		if err != nil {
			fmt.Println("not encoded:", err)
		}
		t.row(count(size), count(len(encoded)), amount(float64(len(encoded))/10))
	}
	t.end()
}
