package operator

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Limits of the token file.
const (
	maxTokenFileBytes = 64 << 10
	maxTokens         = 256
	minTokenBytes     = 16
)

// Tokens is a set of bearer tokens. It keeps their SHA-256 digests, so that comparisons take the same time
// for tokens of every length.
type Tokens struct {
	digests [][sha256.Size]byte
}

// ReadTokens reads one token per line; empty lines and lines that start with # are skipped.
func ReadTokens(path string) (*Tokens, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read token file")
	}
	if info.Size() > maxTokenFileBytes {
		return nil, errors.Errorf("token file %s has %d bytes, limit %d", path, info.Size(), maxTokenFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read token file")
	}
	tokens, err := ParseTokens(data)
	return tokens, errors.Wrapf(err, "token file %s", path)
}

// ParseTokens parses the content of a token file. Error messages never contain a token.
func ParseTokens(data []byte) (*Tokens, error) {
	t := &Tokens{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; lines.Scan(); n++ {
		token := strings.TrimSpace(lines.Text())
		if token == "" || strings.HasPrefix(token, "#") {
			continue
		}
		if len(token) < minTokenBytes || strings.ContainsAny(token, " \t") {
			return nil, errors.Errorf("line %d: a token has at least %d characters and no spaces", n, minTokenBytes)
		}
		t.digests = append(t.digests, sha256.Sum256([]byte(token)))
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read tokens")
	}
	if len(t.digests) == 0 || len(t.digests) > maxTokens {
		return nil, errors.Errorf("%d tokens, allowed are 1 to %d", len(t.digests), maxTokens)
	}
	return t, nil
}

// Valid compares token with every token of the set in constant time.
func (t *Tokens) Valid(token string) bool {
	digest := sha256.Sum256([]byte(token))
	found := 0
	for i := range t.digests {
		found |= subtle.ConstantTimeCompare(digest[:], t.digests[i][:])
	}
	return found == 1
}

func authenticate(tokens *Tokens, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		if !ok || !tokens.Valid(token) {
			w.Header().Set("WWW-Authenticate", `Bearer realm="waxwingslip"`)
			writeProblem(w, http.StatusUnauthorized, "authenticate", errors.New("bearer token is missing or not valid"))
			return
		}
		next.ServeHTTP(w, req)
	})
}
