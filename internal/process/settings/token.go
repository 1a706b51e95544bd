package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"strings"
)

// minTokenBytes is the minimum length of a token. A random token of this length
// can't be guessed.
const minTokenBytes = 16

// MaxTokenBytes is the maximum size of a file that holds a token.
const MaxTokenBytes = 4096

// redacted is printed and encoded in place of a token.
const redacted = "[redacted]"

// Token is a secret that authenticates an operator. Only its digest is kept,
// and it is never printed. The zero value matches no text.
type Token struct {
	digest [sha256.Size]byte
	set    bool
}

// NewToken returns the token in text without leading and trailing white space.
// It fails if fewer than 16 bytes are left.
func NewToken(text string) (Token, error) {
	text = strings.TrimSpace(text)
	if len(text) < minTokenBytes {
		return Token{}, fmt.Errorf("the token is too short: it must have at least %d bytes", minTokenBytes)
	}
	return Token{digest: sha256.Sum256([]byte(text)), set: true}, nil
}

// Matches reports whether text is the token. The time of the comparison does
// not depend on how much of the text is correct.
func (t Token) Matches(text string) bool {
	digest := sha256.Sum256([]byte(text))
	equal := subtle.ConstantTimeCompare(digest[:], t.digest[:]) == 1
	return equal && t.set
}

// Format implements fmt.Formatter. It prints a placeholder for every verb.
func (Token) Format(f fmt.State, _ rune) {
	_, _ = f.Write([]byte(redacted))
}

// MarshalText implements encoding.TextMarshaler. It encodes a placeholder.
func (Token) MarshalText() ([]byte, error) {
	return []byte(redacted), nil
}
