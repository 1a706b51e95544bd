package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A lagging read must not end an evacuation: the newest records were read after a record that
// withdraws an earlier request, and the records that follow contain that one again.
func TestOlderWithdrawalChangesNothing(t *testing.T) {
	v := FromNewest([]Request{{Zone: "a", Offset: 12}}, 10)
	advanced, complete := v.Advance(10, []Request{{Zone: "a", Offset: 11, Withdrawn: true}}, 12)
	assert.Assert(t, complete)
	assert.Assert(t, advanced.Evacuates("a"))
	advanced, _ = advanced.Advance(12, []Request{{Zone: "a", Offset: 12}, {Zone: "a", Offset: 13, Withdrawn: true}}, 14)
	assert.Assert(t, !advanced.Evacuates("a"))
}

// A gap between the view and what was read may hold a request. A view that skipped it would let
// tasks start in the zone.
func TestGapLeavesViewUnchanged(t *testing.T) {
	v := FromNewest(nil, 10)
	for _, read := range [][2]int64{{11, 20}, {0, 9}} {
		advanced, complete := v.Advance(read[0], nil, read[1])
		assert.Assert(t, !complete)
		assert.Equal(t, advanced, v)
	}
	_, complete := (*View)(nil).Advance(0, nil, 5)
	assert.Assert(t, !complete, "nothing is known without a first read")
}

// Whatever the pages of the newest records contain beyond the end that was read first, and
// however the rest arrives, the view must end like the log: neither a lost request nor one that
// stays after its withdrawal.
func TestViewEndsLikeLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Request
		for i := range rapid.IntRange(0, 40).Draw(t, "records") {
			log = append(log, Request{Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), Offset: int64(i), Withdrawn: rapid.Bool().Draw(t, "withdrawn")})
		}
		length := int64(len(log))
		end := rapid.Int64Range(0, length).Draw(t, "end")
		read := map[string]Request{}
		for _, record := range log[:rapid.Int64Range(end, length).Draw(t, "read")] {
			read[record.Zone] = record
		}
		var newest []Request
		for _, record := range read {
			if !record.Withdrawn {
				newest = append(newest, record)
			}
		}
		view := FromNewest(newest, end)
		for view.Offset() < length {
			from := rapid.Int64Range(max(0, view.Offset()-3), view.Offset()).Draw(t, "from")
			next := rapid.Int64Range(view.Offset(), length).Draw(t, "next")
			if next == view.Offset() {
				next = length
			}
			var complete bool
			view, complete = view.Advance(from, log[from:next], next)
			assert.Assert(t, complete)
		}
		want := FromNewest(nil, length)
		want.apply(log)
		assert.DeepEqual(t, view.Zones(), want.Zones())
	})
}
