// Package token issues request tokens and remembers the answers of the requests
// that carry them.
//
// A token contains the incarnation that issued it, a number and an expiry time.
// It is signed with a key that only this incarnation has. While the process of
// the issuer runs, at most one request is run for a token.
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
	// Validity is the time for which a token is valid after it was issued.
	Validity = 10 * time.Minute
	// MaxTokensPerCall is the maximum number of tokens that one call of Issue
	// returns.
	MaxTokensPerCall = 256
	// maxLength is the maximum length of a token in bytes.
	maxLength = 256
	// signatureBytes is the length of a signature before its hexadecimal
	// encoding.
	signatureBytes = 16
	// version is the first part of each token. It changes when the format does.
	version = "t1"
	// partCount is the number of parts of a token, including the version and
	// the signature.
	partCount = 6
)

// Token is a parsed request token. Only its issuer can check the signature.
type Token struct {
	Issuer ident.Incarnation
	Number uint64
	// Expiry is in milliseconds since the start of the issuer, measured by its
	// monotonic clock, so that a step of the wall clock can't make an expired
	// token valid again.
	Expiry int64

	// signed is the part of the text that the signature covers.
	signed    string
	signature []byte
}

// Issuer issues and checks the tokens of one incarnation. It is safe for
// concurrent use.
type Issuer struct {
	self  ident.Incarnation
	start time.Time
	key   [sha256.Size]byte
	// lastNumber is the number of the token that was issued last.
	lastNumber atomic.Uint64
}

// NewIssuer returns an issuer with a random key. All times passed to its
// methods must come from the same clock as start.
func NewIssuer(self ident.Incarnation, start time.Time) *Issuer {
	issuer := &Issuer{self: self, start: start}
	// Read never returns an error: it ends the process if the system has no
	// source of randomness.
	_, _ = rand.Read(issuer.key[:])
	return issuer
}

// Issue returns count new tokens, but at most MaxTokensPerCall. They expire at
// now + Validity.
func (i *Issuer) Issue(now time.Time, count int) []string {
	count = max(0, min(count, MaxTokensPerCall))
	tokens := make([]string, count)
	for index := range tokens {
		tokens[index] = i.issue(now)
	}
	return tokens
}

func (i *Issuer) issue(now time.Time) string {
	signed := strings.Join([]string{
		version,
		hex.EncodeToString([]byte(i.self.Instance)),
		strconv.FormatUint(i.self.Nonce, 16),
		strconv.FormatUint(i.lastNumber.Add(1), 10),
		strconv.FormatInt((now.Sub(i.start) + Validity).Milliseconds(), 10),
	}, ".")
	return signed + "." + hex.EncodeToString(i.sign(signed))
}

func (i *Issuer) sign(signed string) []byte {
	mac := hmac.New(sha256.New, i.key[:])
	mac.Write([]byte(signed))
	return mac.Sum(nil)[:signatureBytes]
}

// Check returns nil if this issuer issued the token and it is valid at now. For
// a token of another issuer the error is BadRequest. For an expired token it is
// KeyExpired with outcome Unknown, because a request may have run with the
// token before.
func (i *Issuer) Check(token Token, now time.Time) error {
	if token.Issuer != i.self || !hmac.Equal(token.signature, i.sign(token.signed)) {
		return fault.New(fault.BadRequest, "the request token was not issued by this incarnation of this instance")
	}
	if now.Sub(i.start).Milliseconds() >= token.Expiry {
		return fault.New(fault.KeyExpired, "request token %d has expired", token.Number).WithOutcome(fault.Unknown)
	}
	return nil
}

// Parse parses the text of a token. It does not check the signature. The error
// is BadRequest.
func Parse(text string) (Token, error) {
	malformed := fault.New(fault.BadRequest, "malformed request token: send the token as an instance issued it")
	if len(text) > maxLength {
		return Token{}, malformed
	}
	parts := strings.Split(text, ".")
	if len(parts) != partCount || parts[0] != version {
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
		signed:    strings.Join(parts[:partCount-1], "."),
		signature: signature,
	}, nil
}
