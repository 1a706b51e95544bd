package cell

import (
	"fmt"
	"strings"
	"time"
)

// unsuitability is why a task must not be started now on a worker that has room for it.
type unsuitability uint8

const (
	suitable unsuitability = iota
	failedThere
	notTrusted
	besideImplicated
	slowWorker
	tailOverTarget
	noSpareCPU
	recentTrial
	pairPressure
	unsuitabilityCount
)

var unsuitabilityNames = [unsuitabilityCount]string{"suitable", "failed there", "not trusted", "beside implicated task", "slow worker",
	"service over target", "no spare cpu", "pair just tried", "pressure of pair"}

func (u unsuitability) String() string { return unsuitabilityNames[u] }

// isInterference reports whether the task is kept off the worker only by what it would do to
// the service tasks there, or by the little CPU that they leave.
func (u unsuitability) isInterference() bool { return u >= tailOverTarget }

// unsuitableWorkers counts the workers that are unsuitable for a task, and holds the pair
// of images that exceeds the pressure left by most.
type unsuitableWorkers struct {
	counts [unsuitabilityCount]int
	worst  *pairExcess
}

// pairExcess is a pair of images on a worker that has not enough pressure left for it.
type pairExcess struct {
	images      imagePair
	coefficient coefficient
	// added is the pressure of the task, remaining the pressure left.
	added, remaining float64
}

func (p pairExcess) excess() float64 { return p.added - p.remaining }

func (u *unsuitableWorkers) add(c *Cell, now time.Time, t *task, w *worker) {
	_, reason := c.score(now, t, w)
	u.counts[reason]++
	if !reason.isInterference() {
		return
	}
	for i, s := range c.loadOf(w).services {
		images := imagePair{s.image, t.spec().Image}
		pair := pairExcess{images: images, coefficient: c.pressures.lookup(images.service, images.bestEffort), remaining: c.remainingPressure(now, w, i)}
		pair.added = pair.coefficient.upperEstimate() * float64(t.spec().CPUMillis) / 1000
		if u.worst == nil || pair.excess() > u.worst.excess() {
			u.worst = &pair
		}
	}
}

func (u *unsuitableWorkers) describe(now time.Time) string {
	var parts []string
	for reason, count := range u.counts {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", count, unsuitability(reason)))
		}
	}
	if u.worst != nil {
		parts = append(parts, u.worst.describe(now))
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

// maxLoggedImageBytes limits an image name in a log line. Callers choose these names.
const maxLoggedImageBytes = 64

func shortened(image string) string {
	return strings.ToValidUTF8(image[:min(len(image), maxLoggedImageBytes)], "")
}

func (p *pairExcess) describe(now time.Time) string {
	return fmt.Sprintf("worst pair %s beside %s: %.3f per core, %.2f of %.2f left, %s", shortened(p.images.bestEffort), shortened(p.images.service),
		p.coefficient.mean, p.added, p.remaining, p.coefficient.source(now))
}

// source says from how many reports a coefficient was learned, and how old the last is.
func (k coefficient) source(now time.Time) string {
	switch {
	case k.reports > 0:
		return fmt.Sprintf("%d reports, the last %d ms ago", k.reports, now.Sub(k.learnedAt).Milliseconds())
	case k.variance == restoredVariance:
		return "stored by an earlier term"
	}
	return "never tried"
}
