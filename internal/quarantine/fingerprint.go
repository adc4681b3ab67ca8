package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies requests that are the same: those of one account with the same method, host, path and body.
// Attempts of clients have different IDs.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal, 32 characters.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// FingerprintOf returns the fingerprint of a request. The URI is the path with the query.
func FingerprintOf(account string, method, host, uri, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, field := range [][]byte{[]byte(account), method, host, uri, body} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // it never fails
		_, _ = h.Write(field)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
