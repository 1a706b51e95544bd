package overlimit

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"poplarvalve/test/fleet"
)

// newWorkers is the number of workers that join while a crowd holds its connections. With the
// connections to them, and those of clients and links at their limits, the process has 10 of its
// descriptors left.
const newWorkers = 30

// newWorkerCPU is the CPU of these workers in thousandths of a core, more than the first one has.
const newWorkerCPU = 500_000

// Guards against a crowd on the ports of callers and links that takes the descriptors which the
// process needs for the log and the workers: it could then store nothing, or start nothing. The
// process has only as many descriptors as its settings say, the log closes its connections while the
// crowd is open, and the tasks of the ordinary job have room only on workers that join meanwhile.
func TestCrowdLeavesDescriptorsForLogAndWorkers(t *testing.T) {
	i := startInstance(t)
	i.descriptors = maxFDs - filesReserve
	i.restart()
	i.submitOrdinary("after the restart")
	i.addressOf = func(number int) string {
		if number%5 == 0 {
			return i.addresses.links
		}
		return i.addresses.callers
	}
	submit := i.trySubmit
	// A connection without a request in progress may stay open for minutes.
	request := func(_ int, c net.Conn) { exchange(c, "GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n", 1) }
	i.checkCrowdDuring(idleCrowd, request, func() {
		for number := range newWorkers {
			worker := fleet.NewWorker(fmt.Sprintf("i-%d", 100+number), "p", 100*time.Millisecond, fleet.NewOverlapDetector())
			t.Cleanup(worker.Close)
			worker.SetCPU(newWorkerCPU)
			i.log.AppendRecord("keyed.servers", worker.ID, worker.RegistryEntry())
		}
		i.log.ResetConnections()
		i.submissions++
		i.trySubmit = i.runWideJob
		i.submitOrdinary("beside the crowd")
		i.trySubmit = submit
	})
}

// runWideJob submits a job with one task for each of the new workers, and returns an error until it is
// completed. Its tasks are too large for the first worker.
func (i *instance) runWideJob() error {
	const path = "/j/0000000000000abc"
	job := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":%d,"mem_mb":100,"estimate_ms":100,"anti_affinity":1}]}`, newWorkers, newWorkerCPU)
	if err := i.post(path, job); err != nil {
		return err
	}
	answer, err := i.request(http.MethodGet, path, "")
	if err == nil && !strings.Contains(answer, `"completed"`) {
		err = errors.New(answer)
	}
	return err
}
