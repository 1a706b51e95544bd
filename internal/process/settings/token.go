package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"strings"
)

// minTokenBytes makes guessing a token hopeless if it was drawn at random.
const minTokenBytes = 16

// MaxTokenBytes bounds the file of a token.
const MaxTokenBytes = 4096

// redacted stands wherever a token would be printed.
const redacted = "[redacted]"

// Token is a secret. It is kept as a digest and never printed. The zero value
// matches nothing.
type Token struct {
	digest [sha256.Size]byte
	set    bool
}

// NewToken returns the token in text, without the space around it.
func NewToken(text string) (Token, error) {
	text = strings.TrimSpace(text)
	if len(text) < minTokenBytes {
		return Token{}, fmt.Errorf("the token has fewer than %d characters", minTokenBytes)
	}
	return Token{digest: sha256.Sum256([]byte(text)), set: true}, nil
}

// Matches reports whether text is the token. Its time doesn't depend on how
// much of the text is right.
func (t Token) Matches(text string) bool {
	digest := sha256.Sum256([]byte(text))
	equal := subtle.ConstantTimeCompare(digest[:], t.digest[:]) == 1
	return equal && t.set
}

// Format implements fmt.Formatter for every verb.
func (Token) Format(f fmt.State, _ rune) {
	_, _ = f.Write([]byte(redacted))
}

// MarshalText implements encoding.TextMarshaler.
func (Token) MarshalText() ([]byte, error) {
	return []byte(redacted), nil
}
