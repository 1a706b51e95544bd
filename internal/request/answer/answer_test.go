package answer

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
)

const seed = 20261204

// An answer must not be reported complete while frames are missing, also if
// frames arrive repeated or out of order.
func TestIncompleteAnswerIsNeverReportedComplete(t *testing.T) {
	random := rand.New(rand.NewPCG(seed, 1))
	body := "abcdefghij"
	for range 2000 {
		var assembly Assembly
		assert.NilError(t, assembly.SetHead(work.Answer{Outcome: fault.Ran}, int64(len(body))))
		for range 14 {
			at := random.IntN(len(body))
			if random.IntN(3) > 0 {
				at = min(int(assembly.ReceivedBytes()), len(body)-1)
			}
			complete, err := assembly.AddFrame(uint32(at), []byte(body[at:at+1]), at == len(body)-1)
			if err != nil {
				assert.Equal(t, fault.KindOf(err), fault.AnswerIncomplete)
				break
			}
			if complete {
				assert.Equal(t, string(assembly.Answer().Body), body)
			}
		}
	}
}

// A last frame that arrives before the stated number of bytes must give
// AnswerIncomplete.
func TestShortAnswerIsAnswerIncomplete(t *testing.T) {
	var assembly Assembly
	assert.NilError(t, assembly.SetHead(work.Answer{}, 5))
	_, err := assembly.AddFrame(0, []byte("abc"), true)
	assert.Equal(t, fault.KindOf(err), fault.AnswerIncomplete)
}
