package caller

import (
	"net/http"
	"strconv"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/token"
	"poplarvalve/internal/process/work"
)

// defaultTokenCount is the number of tokens issued to a request that states no
// count.
const defaultTokenCount = 16

// tokenBlock is the JSON body of a block of request tokens.
type tokenBlock struct {
	Tokens       []string `json:"tokens"`
	ValidSeconds int      `json:"valid_seconds"`
}

func (h *Handler) handleTokens(w http.ResponseWriter, r *http.Request) {
	_, err := callerName(r)
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	count, err := parseCount(r.URL.Query().Get("count"))
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	block := h.engine.IssueTokens(count)
	if len(block) == 0 {
		writeAnswer(w, work.Refuse("", fault.New(fault.NoConfiguration, "this instance issues no request tokens at present")))
		return
	}
	writeJSON(w, http.StatusOK, tokenBlock{Tokens: block, ValidSeconds: int(token.Validity.Seconds())})
}

func parseCount(value string) (int, error) {
	if value == "" {
		return defaultTokenCount, nil
	}
	count, err := strconv.Atoi(value)
	if err != nil || count < 1 || count > token.MaxTokensPerCall {
		return 0, fault.New(fault.BadRequest, "parameter count: %q is not a number between 1 and %d", value, token.MaxTokensPerCall)
	}
	return count, nil
}

// handleRecorded sends the recorded answer of a key or token, in the same form
// as the call with it would have.
func (h *Handler) handleRecorded(w http.ResponseWriter, r *http.Request) {
	caller, err := callerName(r)
	if err != nil {
		writeAnswer(w, work.Refuse("", malformedCallError(work.Request{Key: r.PathValue("key")}, err)))
		return
	}
	answer, err := h.engine.RecordedAnswer(r.Context(), caller, r.PathValue("key"))
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	writeAnswer(w, answer)
}
