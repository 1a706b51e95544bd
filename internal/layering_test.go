package internal

import (
	"os/exec"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "poplarvalve/internal/"

// lifespans are the folders from the shortest life to the longest. A package
// may depend on packages of its own folder and of those after it.
var lifespans = []string{"request", "connection", "version", "process"}

// Guards against a longer-lived package that depends on a shorter-lived one.
func TestImportsPointToLongerLives(t *testing.T) {
	for i, folder := range lifespans {
		shorter := lifespans[:i]
		for _, dependency := range dependencies(t, folder) {
			life, _, _ := strings.Cut(strings.TrimPrefix(dependency, module), "/")
			assert.Assert(t, !slices.Contains(shorter, life), "%s depends on %s", folder, dependency)
			assert.Assert(t, life != "instance" && life != "entry", "%s depends on %s", folder, dependency)
		}
	}
}

// Guards against decisions that do I/O or read a clock of their own.
func TestDecisionsDoNoIO(t *testing.T) {
	pure := []string{"request/placement", "request/admission", "request/fairness", "request/eviction", "request/retry",
		"request/answer", "request/job", "version/cell", "version/election", "version/manifest"}
	for _, name := range pure {
		output, err := exec.Command("go", "list", "-f", "{{join .Imports \" \"}}", module+name).Output()
		if err != nil {
			continue // Not every decision is a package of its own yet.
		}
		for _, imported := range strings.Fields(string(output)) {
			assert.Assert(t, !slices.Contains([]string{"net", "net/http", "os", "math/rand", "math/rand/v2", "crypto/rand"}, imported),
				"%s imports %s", name, imported)
			assert.Assert(t, !strings.HasPrefix(imported, module+"connection"), "%s imports %s", name, imported)
		}
	}
}

func dependencies(t *testing.T, folder string) []string {
	t.Helper()
	output, err := exec.Command("go", "list", "-deps", "./"+folder+"/...").Output()
	assert.NilError(t, err)
	var own []string
	for _, line := range strings.Fields(string(output)) {
		if strings.HasPrefix(line, module) {
			own = append(own, line)
		}
	}
	return own
}
