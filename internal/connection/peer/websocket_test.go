package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/membudget"
)

// A message must arrive unchanged whatever its size is, must be refused if there is no memory for
// it, and must release its memory either way.
func TestMessageTakesItsMemoryFromBudget(t *testing.T) {
	const most = 1 << 20
	budget := membudget.New(membudget.Config{Total: 4 << 20, SmallReserve: 64 << 10, SmallBody: 16 << 10, AccountMax: 4 << 20, Wait: time.Millisecond, EvictAfter: time.Hour})
	var account, other membudget.Account
	read := func(source io.Reader) ([]byte, error) {
		grant := budget.Open(&account)
		defer grant.Close()
		return receiveMessage(t.Context(), &grant, source, func() {})
	}
	for _, size := range []int{0, 1, firstReceiveBytes - 1, firstReceiveBytes, firstReceiveBytes + 1, 100000, most} {
		content := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		data, err := read(iotest.HalfReader(bytes.NewReader(content)))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(data, content))
		assert.Equal(t, budget.State().Used(), int64(0))
	}
	holder := budget.Open(&other)
	assert.Assert(t, holder.TryAcquire(3<<20))
	_, err := read(bytes.NewReader(make([]byte, most)))
	assert.Equal(t, err, membudget.ErrShort)
	_, err = read(iotest.ErrReader(errors.New("the link is closed")))
	assert.ErrorContains(t, err, "closed")
	holder.Close()
	assert.Equal(t, budget.State().Used(), int64(0))
}
