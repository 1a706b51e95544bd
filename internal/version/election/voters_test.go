package election

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// voters returns the voters that a text like "a/z0 b/z1" names. A name without a zone is in
// an unknown one.
func voters(text string) []Voter {
	var list []Voter
	for _, field := range strings.Fields(text) {
		address, zone, _ := strings.Cut(field, "/")
		list = append(list, Voter{Address: address, Zone: zone})
	}
	return list
}

// heardAgo returns the instances that a text names, as heard some time ago.
func heardAgo(now time.Time, ago time.Duration, text string) []HeardInstance {
	var heard []HeardInstance
	for _, voter := range voters(text) {
		heard = append(heard, HeardInstance{Voter: voter, At: now.Add(-ago)})
	}
	return heard
}

// Guards against a list of voters of one zone, which a cut of the zone leaves without a
// majority, against one that shrinks to the leader during a partition, and against one in
// which an instance counts twice.
func TestVotersAreSpreadAndKept(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name, current, heard, silent, want string
	}{
		{"first list", "", "a/z0 b/z1 c/z2", "", "a/z0 b/z1 c/z2"},
		{"none is known", "", "", "", ""},
		{"an instance alone", "", "a/z0", "", "a/z0"},
		{"unchanged", "b/z1 a/z0 c/z2", "a/z0 b/z1 c/z2", "", "b/z1 a/z0 c/z2"},
		{"spread over the zones", "", "a/z0 b/z0 c/z0 d/z0 e/z0 f/z0 g/z0 h/z1 i/z1 j/z2 k/z2", "", "a/z0 h/z1 j/z2 b/z0 i/z1 k/z2 c/z0 d/z0 e/z0"},
		{"zones of the voters that stay count", "a/z0 b/z0 c/z0 d/z0 e/z0 f/z0 g/z0", "a/z0 b/z0 c/z0 d/z0 e/z0 f/z0 g/z0 h/z0 i/z1 j/z1 k/z1", "", "a/z0 b/z0 c/z0 d/z0 e/z0 f/z0 g/z0 i/z1 j/z1"},
		{"voters stay although others are heard", "a b c d e f g h i", "a b c d e f g h i j k l", "", "a b c d e f g h i"},
		{"a silent one is replaced", "a/z0 b/z1 c/z2 d/z0", "a/z0 b/z1 d/z0 e/z2", "c/z2", "a/z0 b/z1 d/z0 e/z2"},
		{"a silent one goes", "a b c d e", "a b c d", "e", "a b c d"},
		{"three stay", "a b c d e", "a", "b c d e", "a b c"},
		{"two of two stay", "a b", "a", "b", "a b"},
		{"three stay although none is heard", "a b c d e", "", "a b c d e", "a b c"},
		{"a silent one makes room among three", "a b c", "a b d", "c", "a b d"},
		{"voters that were never heard", "x y z", "a", "", "a x y"},
		{"an address twice in the list", "a a b", "a b", "", "a b"},
		{"an address twice in the list and silent", "a b b c", "a", "b c", "a b c"},
		{"an address in another zone", "a/z0 b/z1", "a/z2 b/z1", "", "a/z0 b/z1"},
		{"an instance without an address", "a b", "a b /z0", "", "a b"},
		{"a voter without an address", "a /z0 b c", "a b c", "", "a b c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			heard := append(heardAgo(now, 0, c.heard), heardAgo(now, voterAbsence, c.silent)...)
			got := ChooseVoters(now, voters(c.current), heard)
			assert.DeepEqual(t, fmt.Sprint(got), fmt.Sprint(voters(c.want)))
			assert.DeepEqual(t, fmt.Sprint(ChooseVoters(now, got, heard)), fmt.Sprint(got))
			for i, instance := range heard { // The order in which instances are heard of must not matter.
				j := i * 7 % len(heard)
				heard[i], heard[j] = heard[j], instance
			}
			assert.DeepEqual(t, fmt.Sprint(ChooseVoters(now, voters(c.current), heard)), fmt.Sprint(voters(c.want)))
		})
	}
}

// Guards against a leader that takes the confirmation of too few voters, or of another list,
// for a majority, and against a next leader that relies on too few of them.
func TestMajorityOfEachListConfirms(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name, stored, proposed string
		// confirmed names, by the second, who confirmed last then.
		confirmed []string
		want      int // The second since which a majority has confirmed, or -1.
		blocks    bool
	}{
		{"no voters", "", "", []string{"a b"}, -1, true},
		{"none has confirmed", "a b c", "", nil, -1, false},
		{"one of one", "a", "", []string{"", "a"}, 1, true},
		{"one of two", "a b", "", []string{"a"}, -1, true},
		{"two of two", "a b", "", []string{"a", "b"}, 0, true},
		{"one of three", "a b c", "", []string{"a"}, -1, false},
		{"two of three", "a b c", "", []string{"a", "b"}, 0, true},
		{"three of three", "a b c", "", []string{"a", "b", "c"}, 1, true},
		{"one of four", "a b c d", "", []string{"a"}, -1, false},
		{"two of four", "a b c d", "", []string{"a b"}, -1, true},
		{"three of four", "a b c d", "", []string{"a", "", "b", "c"}, 0, true},
		{"four of nine", "a b c d e f g h i", "", []string{"a b c d"}, -1, false},
		{"five of nine", "a b c d e f g h i", "", []string{"a b c d e"}, 0, true},
		{"others", "a b c", "", []string{"d e f g"}, -1, false},
		{"a majority of both lists", "a b c", "c d e", []string{"a c", "b", "d"}, 0, true},
		{"not of the proposed list", "a b c", "c d e", []string{"a b c"}, -1, true},
		{"not of the stored list", "a b c", "c d e", []string{"c d e"}, -1, false},
		{"the older of both majorities", "a", "b", []string{"", "", "a", "", "b"}, 2, true},
		{"an address twice", "a a b", "", []string{"", "a"}, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			confirmed := map[string]time.Time{}
			for second, names := range c.confirmed {
				for _, address := range strings.Fields(names) {
					confirmed[address] = start.Add(time.Duration(second) * time.Second)
				}
			}
			quorum := Quorum{Stored: voters(c.stored), Proposed: voters(c.proposed)}
			want := time.Time{}
			if c.want >= 0 {
				want = start.Add(time.Duration(c.want) * time.Second)
			}
			assert.Equal(t, quorum.MajoritySince(confirmed), want)
			assert.Equal(t, quorum.BlocksEarlier(confirmed), c.blocks)
		})
	}
}

// Guards against two groups of instances of which one confirms a leader and the other one
// leaves the next leader free to take its leases as over.
func TestMajorityAndBlockHaveAnInstanceInCommon(t *testing.T) {
	for size := 1; size <= MaxVoters; size++ {
		var list []Voter
		for i := range size {
			list = append(list, Voter{Address: fmt.Sprint(i)})
		}
		quorum := Quorum{Stored: list}
		for set := range 1 << size {
			confirmed, others := map[string]time.Time{}, map[string]time.Time{}
			for i, voter := range list {
				if set>>i&1 != 0 {
					confirmed[voter.Address] = time.Unix(1, 0)
				} else {
					others[voter.Address] = time.Unix(1, 0)
				}
			}
			if !quorum.MajoritySince(confirmed).IsZero() && quorum.BlocksEarlier(others) {
				t.Fatalf("%v of %d are a majority and %v block", confirmed, size, others)
			}
			if quorum.MajoritySince(confirmed).IsZero() && !quorum.BlocksEarlier(others) {
				t.Fatalf("%v of %d are no majority and %v don't block", confirmed, size, others)
			}
		}
	}
}

// Guards against leases that are extended for longer than the next leader waits, or without
// the log although enough voters confirm.
func TestAuthorityToExtendEndsInTime(t *testing.T) {
	const renewalAuthority = 4 * time.Second
	for _, c := range []struct {
		sinceRenewal, sinceMajority time.Duration
		want                        LeaseAuthority
	}{
		{0, time.Hour, AuthorityRenewal},
		{renewalAuthority - 1, time.Hour, AuthorityRenewal},
		{renewalAuthority, time.Hour, NoAuthority},
		{renewalAuthority, ConfirmationMaxAge - 1, AuthorityQuorum},
		{renewalAuthority, ConfirmationMaxAge, NoAuthority},
		{MaxConfirmedAuthority - 1, 0, AuthorityQuorum},
		{MaxConfirmedAuthority, 0, NoAuthority},
	} {
		assert.Equal(t, AuthorityToExtend(c.sinceRenewal, renewalAuthority, c.sinceMajority), c.want, "%v", c)
	}
}
