package transport

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"marjoramshore.example/core"
)

const (
	authScheme = "Marjoram-Peer-1 "
	// minKeyBytes is the output size of SHA-256. HMAC-SHA256 loses strength
	// with a shorter key, and gains nothing from one longer than its block.
	minKeyBytes = 32
	// defaultMaxSkew is how far the clocks of two nodes may differ by default.
	defaultMaxSkew = 30 * time.Second
)

// Authenticator signs requests to peers and verifies those of peers with shared
// keys. It is safe for concurrent use.
type Authenticator struct {
	keys    [][]byte
	maxSkew time.Duration
}

// NewAuthenticator returns an Authenticator for keys of at least 32 bytes. The
// first key signs; all keys are accepted, so that a key can be replaced while
// the fleet runs. A maxSkew of zero means 30 s.
func NewAuthenticator(maxSkew time.Duration, keys ...[]byte) (*Authenticator, error) {
	if len(keys) == 0 {
		return nil, core.Fail(core.CodeInvalid, "transport: no shared key for peers")
	}
	for _, k := range keys {
		if len(k) < minKeyBytes {
			return nil, core.Fail(core.CodeInvalid, "transport: peer key shorter than 32 bytes")
		}
	}
	if maxSkew <= 0 {
		maxSkew = defaultMaxSkew
	}
	return &Authenticator{keys: keys, maxSkew: maxSkew}, nil
}

// Sign returns the value of the Authorization header for one request of method,
// the path of the RPC.
func (a *Authenticator) Sign(method string, now time.Time) string {
	timestamp := strconv.FormatInt(now.UnixMilli(), 10)
	nonce := rand.Text()
	return authScheme + timestamp + "." + nonce + "." + authTag(a.keys[0], method, timestamp, nonce)
}

// Verify checks that the value of an Authorization header was signed for method
// with one of the keys, at a time that differs from now by at most the allowed
// skew. The error is a *core.Error with core.CodeUnauthenticated.
func (a *Authenticator) Verify(credentials, method string, now time.Time) error {
	rest, ok := strings.CutPrefix(credentials, authScheme)
	if !ok {
		return core.Fail(core.CodeUnauthenticated, "no peer credentials in the request")
	}
	timestamp, rest, _ := strings.Cut(rest, ".")
	nonce, gotTag, ok := strings.Cut(rest, ".")
	if !ok {
		return core.Fail(core.CodeUnauthenticated, "malformed peer credentials")
	}
	ms, err := strconv.ParseInt(timestamp, 10, 64)
	if err != nil {
		return core.Fail(core.CodeUnauthenticated, "malformed peer credentials")
	}
	for _, key := range a.keys {
		if hmac.Equal([]byte(authTag(key, method, timestamp, nonce)), []byte(gotTag)) {
			return a.verifyTime(time.UnixMilli(ms), now)
		}
	}
	return core.Fail(core.CodeUnauthenticated, "peer credentials match none of the accepted keys")
}

func (a *Authenticator) verifyTime(signedAt, now time.Time) error {
	if d := now.Sub(signedAt); d > a.maxSkew || d < -a.maxSkew {
		return core.Fail(core.CodeUnauthenticated, "peer credentials outside the allowed clock skew")
	}
	return nil
}

// authTag returns the HMAC of the signed fields in base64url.
func authTag(key []byte, method, timestamp, nonce string) string {
	mac := hmac.New(sha256.New, key)
	// None of the fields contains a newline, so the joined text is unambiguous.
	mac.Write([]byte(method + "\n" + timestamp + "\n" + nonce))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}
