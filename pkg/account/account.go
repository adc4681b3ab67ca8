// Package account describes accounts, the customers that run pipelines, and their limits. The
// accounts of routes are of another type, see package route.
//
// # Usage
//
//	a := account.Account{Name: "rep-portal", TokenHash: account.HashToken(token)}
//	if a.Accepts(token) { ... }
package account

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// Account is one customer.
type Account struct {
	Name string
	// TokenHash is the SHA-256 of the bearer token in hexadecimal; if empty, no token is
	// accepted.
	TokenHash string
	// MaxInFlight bounds the concurrent requests at one daemon; 0 means no bound.
	MaxInFlight int
	// RequestsPerSecond bounds the rate of requests at one daemon; 0 means no bound.
	RequestsPerSecond float64
}

// HashToken returns the hash of a token as Account.TokenHash stores it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Accepts reports whether the token belongs to the account, in constant time.
func (a Account) Accepts(token string) bool {
	if a.TokenHash == "" || token == "" {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(a.TokenHash), []byte(HashToken(token))) == 1
}

// Check returns an error of kind Invalid if the account has no name or a negative limit.
func (a Account) Check() error {
	if a.Name == "" {
		return problem.New(problem.Invalid, "account without a name")
	}
	if a.MaxInFlight < 0 || a.RequestsPerSecond < 0 {
		return problem.New(problem.Invalid, "account %q has a negative limit: %d requests in flight, %v requests per second; allowed is 0 or more", a.Name, a.MaxInFlight, a.RequestsPerSecond)
	}
	return nil
}
