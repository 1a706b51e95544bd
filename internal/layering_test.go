// Package internal holds tests of the layering of the packages below it.
package internal

import (
	"os/exec"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const internalPrefix = "poplarvalve/internal/"

// foldersByLifeSpan lists the folders from the shortest life span of their data
// to the longest. A package may depend on packages of its own folder and of the
// folders after it.
var foldersByLifeSpan = []string{"request", "connection", "version", "process"}

// A package whose data lives longer must not depend, even indirectly, on one
// whose data lives shorter, nor on the packages instance and entry that
// assemble the process.
func TestPackagesDependOnlyOnSameOrLongerLifeSpan(t *testing.T) {
	for i, folder := range foldersByLifeSpan {
		shorterLived := foldersByLifeSpan[:i]
		for _, dependency := range dependencies(t, folder) {
			dependencyFolder, _, _ := strings.Cut(strings.TrimPrefix(dependency, internalPrefix), "/")
			assert.Assert(t, !slices.Contains(shorterLived, dependencyFolder), "%s depends on %s", folder, dependency)
			assert.Assert(t, dependencyFolder != "instance" && dependencyFolder != "entry", "%s depends on %s", folder, dependency)
		}
	}
}

// A package that makes decisions must get its input as arguments. If it did
// I/O, read a clock, drew random numbers or imported a connection package by
// itself, its decisions would not depend on the arguments alone.
func TestDecisionPackagesImportNoIO(t *testing.T) {
	decisionPackages := []string{"request/placement", "request/admission", "request/fairness", "request/eviction", "request/retry",
		"request/answer", "request/job", "version/cell", "version/election", "version/evacuation", "version/manifest", "version/manifestcheck",
		"version/nearplace", "version/overload", "version/statebudget"}
	for _, name := range decisionPackages {
		output, err := exec.Command("go", "list", "-f", "{{join .Imports \" \"}}", internalPrefix+name).Output()
		assert.NilError(t, err, "listing the imports of %s", name)
		for _, imported := range strings.Fields(string(output)) {
			assert.Assert(t, !slices.Contains([]string{"net", "net/http", "os", "math/rand", "math/rand/v2", "crypto/rand"}, imported),
				"%s imports %s", name, imported)
			assert.Assert(t, !strings.HasPrefix(imported, internalPrefix+"connection"), "%s imports %s", name, imported)
		}
	}
}

// dependencies returns the packages of this module's internal folder that the
// packages of a folder depend on, directly or indirectly.
func dependencies(t *testing.T, folder string) []string {
	t.Helper()
	output, err := exec.Command("go", "list", "-deps", "./"+folder+"/...").Output()
	assert.NilError(t, err)
	var internalPackages []string
	for _, line := range strings.Fields(string(output)) {
		if strings.HasPrefix(line, internalPrefix) {
			internalPackages = append(internalPackages, line)
		}
	}
	return internalPackages
}
