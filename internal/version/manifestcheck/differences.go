package manifestcheck

import (
	"fmt"
	"strconv"

	"poplarvalve/internal/version/manifest"
)

// Change is the kind of a difference. Scripts rely on the values.
type Change string

const (
	QueueAdded   Change = "added"
	QueueRemoved Change = "removed"
	FieldChanged Change = "changed"
)

// Difference is one difference between two manifests.
type Difference struct {
	Change Change
	// Queue is the name of the queue. It is empty if the manifests differ in their version.
	Queue string
	// Field, Before and After are set if a field has changed.
	Field, Before, After string
}

// queueKey identifies a queue in both manifests. Of queues with the same name, the first is
// compared with the first, and so on.
type queueKey struct {
	name   string
	number int
}

// Differences returns what changes if after takes the place of before, which may be nil:
// the version first, then removed queues, then added and changed ones in the order of after.
func Differences(before, after *manifest.Manifest) []Difference {
	if before == nil {
		before = manifest.New(0, nil)
	}
	var found []Difference
	if before.Version != after.Version {
		found = append(found, Difference{FieldChanged, "", "version", strconv.FormatInt(before.Version, 10), strconv.FormatInt(after.Version, 10)})
	}
	beforeKeys, beforeQueues := queuesByKey(before)
	afterKeys, afterQueues := queuesByKey(after)
	for _, key := range beforeKeys {
		if afterQueues[key] == nil {
			found = append(found, Difference{Change: QueueRemoved, Queue: key.name})
		}
	}
	for _, key := range afterKeys {
		if earlier := beforeQueues[key]; earlier != nil {
			found = append(found, changedFields(earlier, afterQueues[key])...)
		} else {
			found = append(found, Difference{Change: QueueAdded, Queue: key.name})
		}
	}
	return found
}

// queuesByKey returns the queues of a manifest by key, and the keys in order.
func queuesByKey(m *manifest.Manifest) (keys []queueKey, queues map[queueKey]*manifest.Queue) {
	seen := map[string]int{}
	queues = map[queueKey]*manifest.Queue{}
	for i := range m.Queues {
		key := queueKey{m.Queues[i].Name, seen[m.Queues[i].Name]}
		seen[key.name]++
		keys = append(keys, key)
		queues[key] = &m.Queues[i]
	}
	return keys, queues
}

// changedFields returns the fields in which two queues of the same name differ.
func changedFields(before, after *manifest.Queue) (found []Difference) {
	earlier, later := fieldsOf(before), fieldsOf(after)
	for i, field := range later {
		if earlier[i].value != field.value {
			found = append(found, Difference{FieldChanged, after.Name, field.name, earlier[i].value, field.value})
		}
	}
	return found
}

type fieldText struct{ name, value string }

// fieldsOf returns the fields of a queue, except its name, as text. It lists the same fields
// for each queue.
func fieldsOf(queue *manifest.Queue) []fieldText {
	advice := "none"
	if queue.Advice != nil {
		advice = fmt.Sprintf("%v + %v per backend server", queue.Advice.Decision, queue.Advice.PerWorker)
	}
	stretch := queue.Stretch
	if stretch == 0 {
		stretch = 0 // -0 has another text.
	}
	return []fieldText{
		{"host", queue.Host},
		{"prefix", queue.Prefix},
		{"service", queue.Pool},
		{"priority", strconv.Itoa(queue.Priority)},
		{"attempts", strconv.Itoa(queue.Attempts)},
		{"stretch", strconv.FormatFloat(stretch, 'g', -1, 64)},
		{"objective", queue.Objective.String()},
		{"advice", advice},
	}
}
