package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// The classes of requests.
const (
	idempotent = "idempotent"
	withToken  = "token"
	withKey    = "key"
	asJob      = "job"
)

var classes = []string{idempotent, withToken, withKey, asJob}

const (
	smallBody = 128
	largeBody = 32 << 10
	// largeShare of the bodies take several frames between instances.
	largeShare = 0.02
)

// mix holds the weight of each class.
type mix map[string]int

func parseMix(text string) (mix, error) {
	m := mix{}
	total := 0
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		weight, err := strconv.Atoi(value)
		if err != nil || weight < 0 || !known(name) {
			return nil, fmt.Errorf("-mix: %q is not of the form CLASS=WEIGHT", part)
		}
		m[name] = weight
		total += weight
	}
	if total == 0 {
		return nil, fmt.Errorf("-mix: every weight is zero")
	}
	return m, nil
}

func known(name string) bool {
	for _, class := range classes {
		if class == name {
			return true
		}
	}
	return false
}

// draw returns a class with a chance by its weight.
func (m mix) draw(random *rand.Rand) string {
	total := 0
	for _, weight := range m {
		total += weight
	}
	at := random.IntN(total)
	for _, class := range classes {
		if at -= m[class]; at < 0 {
			return class
		}
	}
	return idempotent
}

// planned is one request to send.
type planned struct {
	// due is counted from the begin of the run.
	due    time.Duration
	class  string
	label  string
	body   []byte
	repeat bool
}

// plan yields the requests of a run in the order of their due times, which are
// those of a Poisson process. The same options give the same requests.
func plan(o options, name string) func(yield func(planned) bool) {
	random := rand.New(rand.NewPCG(o.seed, 0))
	return func(yield func(planned) bool) {
		due := time.Duration(0)
		for number := 0; ; number++ {
			due += time.Duration(random.ExpFloat64() / o.rate * float64(time.Second))
			if due >= o.duration {
				return
			}
			p := planned{due: due, class: o.mix.draw(random), label: fmt.Sprintf("%s-%d-%d", name, o.seed, number)}
			p.repeat = random.Float64() < o.repeat
			p.body = bodyOf(p.label, random)
			if !yield(p) {
				return
			}
		}
	}
}

// bodyOf returns a label line and random letters.
func bodyOf(label string, random *rand.Rand) []byte {
	size := smallBody
	if random.Float64() < largeShare {
		size = largeBody
	}
	body := make([]byte, 0, len(label)+1+size)
	body = append(append(body, label...), '\n')
	for len(body) < cap(body) {
		letters := random.Uint64()
		for range min(8, cap(body)-len(body)) {
			body = append(body, byte('a'+letters%16))
			letters >>= 4
		}
	}
	return body
}
