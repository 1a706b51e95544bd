package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// The classes of requests. The class determines how a request may be repeated.
const (
	idempotent = "idempotent"
	withToken  = "token"
	withKey    = "key"
	asJob      = "job"
)

var classes = []string{idempotent, withToken, withKey, asJob}

const (
	smallBodyBytes = 128
	largeBodyBytes = 32 << 10
	// largeBodyShare is the fraction of bodies with largeBodyBytes, which take
	// several frames between instances.
	largeBodyShare = 0.02
)

// mix maps each class to its weight.
type mix map[string]int

func parseMix(text string) (mix, error) {
	m := mix{}
	total := 0
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		weight, err := strconv.Atoi(value)
		if err != nil || weight < 0 || !isClass(name) {
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

func isClass(name string) bool {
	for _, class := range classes {
		if class == name {
			return true
		}
	}
	return false
}

// drawClass returns a random class, each with a probability proportional to its
// weight.
func (m mix) drawClass(random *rand.Rand) string {
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

// plannedRequest is a request that is to be sent.
type plannedRequest struct {
	// due is the time from the start of the run.
	due    time.Duration
	class  string
	label  string
	body   []byte
	repeat bool
}

// planRequests yields the requests of a run in the order of their due times,
// which form a Poisson process. The same options yield the same requests.
func planRequests(o options, name string) func(yield func(plannedRequest) bool) {
	random := rand.New(rand.NewPCG(o.seed, 0))
	return func(yield func(plannedRequest) bool) {
		due := time.Duration(0)
		for number := 0; ; number++ {
			due += time.Duration(random.ExpFloat64() / o.rate * float64(time.Second))
			if due >= o.duration {
				return
			}
			p := plannedRequest{due: due, class: o.mix.drawClass(random), label: fmt.Sprintf("%s-%d-%d", name, o.seed, number)}
			p.repeat = random.Float64() < o.repeatShare
			p.body = makeBody(p.label, random)
			if !yield(p) {
				return
			}
		}
	}
}

// makeBody returns a body of the label, a newline and random letters.
func makeBody(label string, random *rand.Rand) []byte {
	size := smallBodyBytes
	if random.Float64() < largeBodyShare {
		size = largeBodyBytes
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
