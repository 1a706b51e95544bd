package caller

import (
	"net/http"
	"strconv"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/token"
	"poplarvalve/internal/process/work"
)

// defaultBlock is the number of tokens of a block whose size is not stated.
const defaultBlock = 16

// tokenBlock is the JSON body of a block of tokens.
type tokenBlock struct {
	Tokens       []string `json:"tokens"`
	ValidSeconds int      `json:"valid_seconds"`
}

func (h *Handler) tokens(w http.ResponseWriter, r *http.Request) {
	_, err := callerOf(r)
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	count, err := parseCount(r.URL.Query().Get("count"))
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	block := h.engine.Issue(count)
	if len(block) == 0 {
		writeAnswer(w, work.Refuse("", fault.New(fault.NoConfiguration, "no tokens are issued here")))
		return
	}
	writeJSON(w, http.StatusOK, tokenBlock{Tokens: block, ValidSeconds: int(token.Window.Seconds())})
}

func parseCount(value string) (int, error) {
	if value == "" {
		return defaultBlock, nil
	}
	count, err := strconv.Atoi(value)
	if err != nil || count < 1 || count > token.MaxBlock {
		return 0, fault.New(fault.BadRequest, "count: %q is not between 1 and %d", value, token.MaxBlock)
	}
	return count, nil
}

// recorded sends the recorded answer of a key or token as its call would have.
func (h *Handler) recorded(w http.ResponseWriter, r *http.Request) {
	caller, err := callerOf(r)
	if err != nil {
		writeAnswer(w, work.Refuse("", undecoded(work.Request{Key: r.PathValue("key")}, err)))
		return
	}
	answer, err := h.engine.Recorded(r.Context(), caller, r.PathValue("key"))
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	writeAnswer(w, answer)
}
