// Package token issues request tokens and keeps the results of the requests
// that carry them.
//
// A token names the issuing incarnation, a number and an expiry, and is signed
// with a key that only that incarnation has. While the issuer lives, a token
// runs at most one request.
package token

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

const (
	// Window is how long a token is valid after it was issued.
	Window = 10 * time.Minute
	// MaxBlock is the most tokens of one block.
	MaxBlock = 256
	// maxLength bounds the length of a token in bytes.
	maxLength = 256
	// signatureBytes is the length of a signature.
	signatureBytes = 16
	// version starts each token and changes with its format.
	version = "t1"
	// fields is the number of parts of a token, with version and signature.
	fields = 6
)

// Token is a parsed token. Its signature is known only to the issuer.
type Token struct {
	Issuer ident.Incarnation
	Number uint64
	// Expiry is in milliseconds since the issuer's start, by its monotonic
	// clock, so that a step of the wall clock can't revive a token.
	Expiry int64

	signed    string
	signature []byte
}

// Issuer issues the tokens of one incarnation. It is safe for many threads.
type Issuer struct {
	self  ident.Incarnation
	start time.Time
	key   [sha256.Size]byte
	last  atomic.Uint64
}

// NewIssuer returns an issuer with a random key. Times given later must come
// from the same clock as start.
func NewIssuer(self ident.Incarnation, start time.Time) *Issuer {
	issuer := &Issuer{self: self, start: start}
	// Read never fails: it ends the process if the system gives no randomness.
	_, _ = rand.Read(issuer.key[:])
	return issuer
}

// Issue returns count fresh tokens, at most MaxBlock.
func (i *Issuer) Issue(now time.Time, count int) []string {
	count = max(0, min(count, MaxBlock))
	block := make([]string, count)
	for at := range block {
		block[at] = i.issue(now)
	}
	return block
}

func (i *Issuer) issue(now time.Time) string {
	signed := strings.Join([]string{
		version,
		hex.EncodeToString([]byte(i.self.Instance)),
		strconv.FormatUint(i.self.Nonce, 16),
		strconv.FormatUint(i.last.Add(1), 10),
		strconv.FormatInt((now.Sub(i.start) + Window).Milliseconds(), 10),
	}, ".")
	return signed + "." + hex.EncodeToString(i.sign(signed))
}

func (i *Issuer) sign(signed string) []byte {
	mac := hmac.New(sha256.New, i.key[:])
	mac.Write([]byte(signed))
	return mac.Sum(nil)[:signatureBytes]
}

// Check returns nil for a token that this issuer issued and that is valid at
// now. An expired token is KeyExpired with outcome Unknown, because a request
// may have run with it.
func (i *Issuer) Check(token Token, now time.Time) error {
	if token.Issuer != i.self || !hmac.Equal(token.signature, i.sign(token.signed)) {
		return fault.New(fault.BadRequest, "the token was not issued here")
	}
	if now.Sub(i.start).Milliseconds() >= token.Expiry {
		return fault.New(fault.KeyExpired, "token %d", token.Number).WithOutcome(fault.Unknown)
	}
	return nil
}

// Parse reads a token without checking its signature.
func Parse(text string) (Token, error) {
	malformed := fault.New(fault.BadRequest, "malformed request token")
	if len(text) > maxLength {
		return Token{}, malformed
	}
	parts := strings.Split(text, ".")
	if len(parts) != fields || parts[0] != version {
		return Token{}, malformed
	}
	name, nameErr := hex.DecodeString(parts[1])
	nonce, nonceErr := strconv.ParseUint(parts[2], 16, 64)
	number, numberErr := strconv.ParseUint(parts[3], 10, 64)
	expiry, expiryErr := strconv.ParseInt(parts[4], 10, 64)
	signature, signatureErr := hex.DecodeString(parts[5])
	for _, err := range []error{nameErr, nonceErr, numberErr, expiryErr, signatureErr} {
		if err != nil {
			return Token{}, malformed
		}
	}
	return Token{
		Issuer:    ident.Incarnation{Instance: ident.InstanceName(name), Nonce: nonce},
		Number:    number,
		Expiry:    expiry,
		signed:    strings.Join(parts[:fields-1], "."),
		signature: signature,
	}, nil
}
