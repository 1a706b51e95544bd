package interference_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/interference"
)

var start = time.Unix(100000, 0)

func report(slowdown int64, at time.Duration, beside ...interference.Running) interference.Report {
	return interference.Report{Kind: "check", Beside: beside, Slowdown: slowdown, Measured: start.Add(at)}
}

func near(t *testing.T, got, want, tolerance int64) {
	t.Helper()
	assert.Assert(t, got >= want-tolerance && got <= want+tolerance, "%d is not near %d", got, want)
}

// Guards against estimates that can't tell a noisy neighbour from a quiet one
// although they are seen together and with noise.
func TestLearnsPairs(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 2))
	var table *interference.Table
	near(t, table.Extra("check", "noisy"), 200, 0)
	for i := range 400 {
		noisy, quiet := source.IntN(4), source.IntN(4)
		slowdown := 1000 + int64(noisy)*600 + int64(quiet)*50 + source.Int64N(101) - 50
		table = table.Fold([]interference.Report{report(slowdown, time.Duration(i)*time.Second,
			interference.Running{Kind: "noisy", Count: noisy}, interference.Running{Kind: "quiet", Count: quiet})})
	}
	near(t, table.Extra("check", "noisy"), 600, 100)
	near(t, table.Extra("check", "quiet"), 50, 60)
	running := []interference.Running{{Kind: "noisy", Count: 2}, {Kind: "other", Count: 1}}
	near(t, table.Disturbance([]ident.ServiceName{"check"}, running), 1400, 200)
	near(t, table.Refresh(start.Add(10*time.Hour)).Extra("check", "noisy"), 200, 50)
}

// Guards against a late report that blames the tasks placed after it.
func TestIgnoresReportsOlderThanThePlacement(t *testing.T) {
	late := report(5000, 0, interference.Running{Kind: "new", Count: 1})
	late.Placed = start.Add(time.Second)
	var table *interference.Table
	for range 20 {
		table = table.Fold([]interference.Report{late})
	}
	near(t, table.Extra("check", "new"), 200, 0)
}

// Guards against work that moves back and forth on noise.
func TestHysteresis(t *testing.T) {
	var table *interference.Table
	settle := func(slowdown int64) {
		for range 50 {
			table = table.Fold([]interference.Report{report(slowdown, 0, interference.Running{Kind: "noisy", Count: 1})})
		}
	}
	settle(1600)
	before := table.Extra("check", "noisy")
	settle(1640)
	assert.Equal(t, table.Extra("check", "noisy"), before)
	settle(1900)
	near(t, table.Extra("check", "noisy"), 900, 135)
}
