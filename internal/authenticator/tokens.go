package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
)

// Kind decides what a caller may do.
type Kind uint8

// The kinds of callers.
const (
	KindOperator  Kind = iota + 1 // may do everything
	KindWorkspace                 // may use the jobs and requests of its own workspace
)

// Identity is an authenticated caller: an operator or a workspace.
type Identity struct {
	Kind Kind
	Name string
}

// MayUse reports whether the caller may act for a workspace.
func (i Identity) MayUse(workspace string) bool {
	return i.Kind == KindOperator || i.Kind == KindWorkspace && i.Name == workspace
}

// ErrUnauthenticated reports that a request has no token or an unknown one.
var ErrUnauthenticated = errors.New("missing or unknown bearer token")

// Tokens is a set of tokens, stored as digests. It is immutable. The zero value is an empty set.
type Tokens struct {
	known []token
}

type token struct {
	digest   [sha256.Size]byte
	identity Identity
}

// Load reads a token file. Each line is "operator NAME TOKEN" or "workspace NAME TOKEN"; empty lines and lines that
// start with # are skipped.
func Load(path string) (Tokens, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Tokens{}, fmt.Errorf("read token file: %w", err)
	}
	return Parse(string(data))
}

// Parse parses the text of a token file, in the format of Load. Errors give the line number and never a token.
func Parse(text string) (Tokens, error) {
	var t Tokens
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		if len(fields) != 3 {
			return Tokens{}, fmt.Errorf("token file line %d: want 'operator NAME TOKEN' or 'workspace NAME TOKEN'", i+1)
		}
		kind, err := parseKind(fields[0])
		if err != nil {
			return Tokens{}, fmt.Errorf("token file line %d: %w", i+1, err)
		}
		t.known = append(t.known, token{sha256.Sum256([]byte(fields[2])), Identity{kind, fields[1]}})
	}
	return t, nil
}

func parseKind(word string) (Kind, error) {
	switch word {
	case "operator":
		return KindOperator, nil
	case "workspace":
		return KindWorkspace, nil
	}
	return 0, fmt.Errorf("unknown kind %q: want operator or workspace", word)
}

// Len returns the number of tokens.
func (t Tokens) Len() int { return len(t.known) }

// Identify returns the identity of the sender of r, or ErrUnauthenticated. It compares every token, each in constant
// time.
func (t Tokens) Identify(r *http.Request) (Identity, error) {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Identity{}, ErrUnauthenticated
	}
	digest := sha256.Sum256([]byte(given))
	var found Identity
	for _, k := range t.known {
		if subtle.ConstantTimeCompare(digest[:], k.digest[:]) == 1 {
			found = k.identity
		}
	}
	if found.Kind == 0 {
		return Identity{}, ErrUnauthenticated
	}
	return found, nil
}
