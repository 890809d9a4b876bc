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
	// minKey is the shortest shared key; HMAC-SHA256 gains nothing from a key
	// longer than its block, and loses strength below its output size.
	minKey = 32
	// defaultSkew bounds how far the clocks of two nodes may differ.
	defaultSkew = 30 * time.Second
)

// Authenticator signs and checks the calls of peers with a shared key.
type Authenticator struct {
	keys [][]byte
	skew time.Duration
}

// NewAuthenticator makes an Authenticator. The first key signs; all keys are
// accepted, so that a key can be replaced while the fleet runs. A skew of zero
// means 30 s.
func NewAuthenticator(skew time.Duration, keys ...[]byte) (*Authenticator, error) {
	if len(keys) == 0 {
		return nil, core.Fail(core.CodeInvalid, "transport: no peer key")
	}
	for _, k := range keys {
		if len(k) < minKey {
			return nil, core.Fail(core.CodeInvalid, "transport: peer key shorter than 32 bytes")
		}
	}
	if skew <= 0 {
		skew = defaultSkew
	}
	return &Authenticator{keys: keys, skew: skew}, nil
}

// Sign returns the Authorization value for one call of method.
func (a *Authenticator) Sign(method string, now time.Time) string {
	stamp := strconv.FormatInt(now.UnixMilli(), 10)
	nonce := rand.Text()
	return authScheme + stamp + "." + nonce + "." + tag(a.keys[0], method, stamp, nonce)
}

// Check reports whether value was signed for method with one of the keys and
// within the allowed skew.
func (a *Authenticator) Check(value, method string, now time.Time) error {
	rest, ok := strings.CutPrefix(value, authScheme)
	if !ok {
		return core.Fail(core.CodeUnauthenticated, "no peer credentials")
	}
	stamp, rest, _ := strings.Cut(rest, ".")
	nonce, got, ok := strings.Cut(rest, ".")
	if !ok {
		return core.Fail(core.CodeUnauthenticated, "malformed peer credentials")
	}
	ms, err := strconv.ParseInt(stamp, 10, 64)
	if err != nil {
		return core.Fail(core.CodeUnauthenticated, "malformed peer credentials")
	}
	for _, key := range a.keys {
		if hmac.Equal([]byte(tag(key, method, stamp, nonce)), []byte(got)) {
			return a.checkTime(time.UnixMilli(ms), now)
		}
	}
	return core.Fail(core.CodeUnauthenticated, "wrong peer credentials")
}

func (a *Authenticator) checkTime(at, now time.Time) error {
	if d := now.Sub(at); d > a.skew || d < -a.skew {
		return core.Fail(core.CodeUnauthenticated, "peer credentials outside the allowed clock skew")
	}
	return nil
}

func tag(key []byte, method, stamp, nonce string) string {
	m := hmac.New(sha256.New, key)
	// The fields hold no newline, so the joined text is unambiguous.
	m.Write([]byte(method + "\n" + stamp + "\n" + nonce))
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil))
}
