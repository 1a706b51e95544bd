package soak

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/test/fleet"
)

// history records the runs on all workers and the capacity that the workers have
// shown. It reports starts that a rule forbids. It implements fleet.Observer.
type history struct {
	disruptions *disruptions
	report      func(format string, args ...any)
	journal     func(format string, args ...any)

	mu      sync.Mutex
	order   int
	running map[string]int
	// starts counts the starts by worker.
	starts map[string]int
	// slots holds, by worker, the numbers of tasks that the worker has had room for.
	slots map[string][]shownSlots
	tasks map[string]*taskHistory
	// unacknowledged holds, by worker, the ends as done that nobody has acknowledged.
	unacknowledged map[string][]*doneRun
	// drainShownAt holds, by worker, when it announced its drain.
	drainShownAt map[string]time.Time
	// zones holds the zone of each worker, and evacuatedAt when each evacuated zone was.
	zones       map[string]string
	evacuatedAt map[string]time.Time
	lasting     *lastingRuns
}

// shownSlots is the room that a worker shows from a time on, in tasks.
type shownSlots struct {
	from  time.Time
	slots int
}

type taskHistory struct {
	// starts holds the place of each start in the order of all events.
	starts []int
	dones  []*doneRun
}

// doneRun is a run that ended as done.
type doneRun struct {
	worker string
	run    int64
	// order is the place of the end in the order of all events.
	order        int
	acknowledged bool
	// void is set if the end got lost with its worker, or the worker's lease
	// expired, before it was acknowledged. Then the task may run again.
	void bool
}

// capacityBound is how long a start may still rely on an earlier capacity.
const capacityBound = 4*time.Second + workerHeartbeat

// workerHeartbeat is the time between two registrations of a worker.
const workerHeartbeat = time.Second

func newHistory(d *disruptions, report, journal func(format string, args ...any)) *history {
	return &history{disruptions: d, report: report, journal: journal, running: map[string]int{}, starts: map[string]int{},
		slots: map[string][]shownSlots{}, tasks: map[string]*taskHistory{}, unacknowledged: map[string][]*doneRun{},
		drainShownAt: map[string]time.Time{}, zones: map[string]string{}, evacuatedAt: map[string]time.Time{}, lasting: newLastingRuns()}
}

// showSlots records that a worker has shown room for a number of tasks.
func (h *history) showSlots(worker string, slots int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.journal("%s shows room for %d tasks", worker, slots)
	h.slots[worker] = append(h.slots[worker], shownSlots{time.Now(), slots})
}

// showDrain records that a worker announces its drain.
func (h *history) showDrain(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainShownAt[worker] = time.Now()
}

// RunStarted implements fleet.Observer. It checks the worker's capacity, and that the worker
// has not announced its drain, nor its zone been evacuated, long before.
func (h *history) RunStarted(worker, task string, run int64) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.order++
	h.running[worker]++
	h.starts[worker]++
	h.task(task).starts = append(h.task(task).starts, h.order)
	h.journal("%s starts %s run %d; runs %d tasks", worker, task, run, h.running[worker])
	if task[0] == lastingJobPrefix {
		h.lasting.start(task, now)
	}
	if shownAt, drains := h.drainShownAt[worker]; drains && now.Sub(shownAt) > drainTime && h.disruptions.none(everything, now.Add(-calmBefore), now) {
		h.report("%s run %d started on %s, which had announced its drain %v before", task, run, worker, now.Sub(shownAt))
	}
	if at, evacuated := h.evacuatedAt[h.zones[worker]]; evacuated && at.Before(h.disruptions.beforeCalm(now, evacuationApply)) {
		h.report("%s run %d started on %s, whose zone has been evacuated for %v", task, run, worker, now.Sub(at))
	}
	bound := h.disruptions.beforeCalm(now, capacityBound)
	allowed := 0
	for i, shown := range h.slots[worker] {
		if i+1 == len(h.slots[worker]) || h.slots[worker][i+1].from.After(bound) {
			allowed = max(allowed, shown.slots)
		}
	}
	if h.running[worker] > allowed {
		h.report("the start of %s run %d brought the worker %s to %d tasks, while it has shown room for no more than %d in time",
			task, run, worker, h.running[worker], allowed)
	}
}

// RunEnded implements fleet.Observer.
func (h *history) RunEnded(worker, task string, run int64, outcome string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.order++
	h.running[worker]--
	h.journal("%s ends %s run %d: %s", worker, task, run, outcome)
	if task[0] == lastingJobPrefix {
		h.lasting.end(task, worker, outcome, time.Now())
	}
	if outcome == "done" {
		done := &doneRun{worker: worker, run: run, order: h.order}
		h.task(task).dones = append(h.task(task).dones, done)
		h.unacknowledged[worker] = append(h.unacknowledged[worker], done)
	}
}

// EndAcknowledged implements fleet.Observer.
func (h *history) EndAcknowledged(worker, task string, run int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.journal("%s: end of %s run %d acknowledged", worker, task, run)
	for _, done := range h.task(task).dones {
		if done.worker == worker && done.run == run {
			done.acknowledged = true
		}
	}
}

// EndsVoid implements fleet.Observer.
func (h *history) EndsVoid(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.journal("%s: ends that are not acknowledged are void", worker)
	for _, done := range h.unacknowledged[worker] {
		done.void = !done.acknowledged
	}
	h.unacknowledged[worker] = nil
}

// task returns the history of a task. The caller must hold h.mu.
func (h *history) task(id string) *taskHistory {
	if h.tasks[id] == nil {
		h.tasks[id] = &taskHistory{}
	}
	return h.tasks[id]
}

// wrongRuns returns what is wrong with the runs of a task of a completed job, or an
// empty string. The task must have ended as done, and must not have started after
// or beside an end as done that was acknowledged.
func (h *history) wrongRuns(id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	task := h.task(id)
	if len(task.dones) == 0 {
		return fmt.Sprintf("task %s was not done; it started %d times", id, len(task.starts))
	}
	valid := 0
	for _, done := range task.dones {
		if done.void {
			continue
		}
		valid++
		if last := task.starts[len(task.starts)-1]; last > done.order {
			return fmt.Sprintf("task %s started again after its run %d had ended as done", id, done.run)
		}
	}
	if valid > 1 {
		return fmt.Sprintf("task %s was done %d times instead of once", id, valid)
	}
	return ""
}

// startsAfterNotedEnds returns what is wrong with the tasks, of any job, that started after a
// run had ended as done whose end was acknowledged then or later and before it was void.
func (h *history) startsAfterNotedEnds() (wrong []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, task := range h.tasks {
		for _, done := range task.dones {
			if last := task.starts[len(task.starts)-1]; done.acknowledged && !done.void && last > done.order {
				wrong = append(wrong, fmt.Sprintf("task %s started again after its run %d had ended as done, which was taken note of", id, done.run))
			}
		}
	}
	return wrong
}

// startsByWorker returns the number of starts so far by worker.
func (h *history) startsByWorker() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.starts)
}

// started reports whether a task has started on any worker.
func (h *history) started(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.task(id).starts) > 0
}

// checkedTask is the task of TestBothFormsOfSecondRunAreRecognized.
const checkedTask = "0000000000000001.0.0.0"

// A checker that missed one of the forms in which a task runs twice would let it pass: two
// runs at the same time, and a start after a run has ended as done whose end is taken note
// of then or later. An end that lapses before that does not count.
func TestBothFormsOfSecondRunAreRecognized(t *testing.T) {
	const (
		startFirst = iota
		startSecond
		endFirst
		endSecond
		noteFirst
		noteSecond
		lapseFirst
	)
	for name, test := range map[string]struct {
		steps                 []int
		overlaps, startsAgain bool
	}{
		"once":                    {steps: []int{startFirst, endFirst, noteFirst}},
		"both at once":            {steps: []int{startFirst, startSecond}, overlaps: true},
		"both at once, one noted": {steps: []int{startFirst, startSecond, endFirst, noteFirst}, overlaps: true},
		"again after note":        {steps: []int{startFirst, endFirst, noteFirst, startSecond}, startsAgain: true},
		"again before note":       {steps: []int{startFirst, endFirst, startSecond, noteFirst}, startsAgain: true},
		"both done":               {steps: []int{startFirst, endFirst, startSecond, endSecond, noteSecond, noteFirst}, startsAgain: true},
		"lapsed after note":       {steps: []int{startFirst, endFirst, noteFirst, lapseFirst, startSecond}, startsAgain: true},
		"lapsed before note":      {steps: []int{startFirst, endFirst, lapseFirst, startSecond, noteFirst}},
	} {
		t.Run(name, func(t *testing.T) {
			overlaps := fleet.NewOverlapDetector()
			h := newHistory(&disruptions{}, t.Errorf, func(string, ...any) {})
			workers := []*fleet.Worker{fleet.NewWorker("i-0", "p", time.Hour, overlaps), fleet.NewWorker("i-1", "p", time.Hour, overlaps)}
			for _, w := range workers {
				defer w.Close()
				w.Observe(h)
				h.showSlots(w.ID, 1)
			}
			for _, step := range test.steps {
				switch step {
				case startFirst, startSecond:
					order(t, workers[step-startFirst], "run-start", fmt.Sprintf(`{"task":%q,"run_id":%d,"fencing_token":1}`, checkedTask, 1+step))
				case endFirst, endSecond:
					workers[step-endFirst].EndRuns()
				case noteFirst, noteSecond:
					order(t, workers[step-noteFirst], "hold", `{"fencing_token":1,"last_seen":1}`)
				case lapseFirst:
					h.EndsVoid(workers[0].ID)
				}
			}
			assert.Equal(t, len(overlaps.OverlappingTasks()) > 0, test.overlaps)
			assert.Equal(t, len(h.startsAfterNotedEnds()) > 0, test.startsAgain)
			if test.startsAgain {
				assert.Assert(t, h.wrongRuns(checkedTask) != "")
			}
		})
	}
}

// order sends an order to a worker, which must accept it.
func order(t *testing.T, w *fleet.Worker, name, body string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+w.Address()+"/-/"+name, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Poplarvalve-Expect-Instance", w.ID)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
