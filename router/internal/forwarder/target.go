package forwarder

import (
	"encoding/hex"
	"errors"
	"net/http"
	"strings"

	"cardamompulley/fleet/cataloguer"
)

// ErrAmbiguousTarget means that equivalent forms of a request target select different routes.
var ErrAmbiguousTarget = errors.New("forwarder: equivalent forms of the path have different routes")

// target is a request target in origin form, as its endpoint gets it. Its route is selected by the same bytes.
type target struct {
	host string
	// uri is the path and the query.
	uri string
}

// newTarget returns the target of a request; an absolute one loses its scheme and authority. The uri is empty if the target is no
// location.
func newTarget(r *http.Request) target {
	uri := r.RequestURI
	switch {
	case r.URL.Scheme != "" && r.URL.Host != "":
		uri = originForm(uri)
	case !strings.HasPrefix(uri, "/"):
		uri = ""
	}

	return target{host: r.Host, uri: uri}
}

// originForm returns what follows the authority of an absolute target.
func originForm(absolute string) string {
	_, location, _ := strings.Cut(absolute, "://")
	uri := strings.TrimLeftFunc(location, func(c rune) bool { return c != '/' && c != '?' })
	if !strings.HasPrefix(uri, "/") {
		return "/" + uri
	}

	return uri
}

// path returns the path as it is sent on, with its escapes.
func (t target) path() string {
	path, _, _ := strings.Cut(t.uri, "?")

	return path
}

// findRoute returns the route of the target, nil if there is none. It returns ErrAmbiguousTarget if an endpoint that normalizes
// paths would see a path of another route.
func (t target) findRoute(c *cataloguer.Configuration) (*cataloguer.Route, error) {
	path := t.path()
	route := c.Route(t.host, path)
	if c.Route(t.host, normalizePath(path)) != route {
		return nil, ErrAmbiguousTarget
	}

	return route, nil
}

// normalizePath returns the equivalent path without dot segments and without escapes of unreserved characters (RFC 3986, 6.2.2).
// An escaped slash stays: it is not equivalent to a slash.
func normalizePath(path string) string {
	if !strings.Contains(path, "%") && !strings.Contains(path, "/.") {
		return path
	}
	segments := strings.Split(unescapeUnreserved(path), "/")
	kept := segments[:0]
	for i, s := range segments {
		isDots := s == "." || s == ".."
		if s == ".." && len(kept) > 1 {
			kept = kept[:len(kept)-1]
		}
		if !isDots {
			kept = append(kept, s)
		} else if i == len(segments)-1 {
			kept = append(kept, "")
		}
	}

	return strings.Join(kept, "/")
}

// unescapeUnreserved replaces the escapes of unreserved characters by the characters; the others get upper-case digits.
func unescapeUnreserved(path string) string {
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] != '%' || i+2 >= len(path) {
			b.WriteByte(path[i])

			continue
		}
		c, ok := decodeHex(path[i+1 : i+3])
		if ok && isUnreserved(c) {
			b.WriteByte(c)
		} else {
			b.WriteString(strings.ToUpper(path[i : i+3]))
		}
		i += 2
	}

	return b.String()
}

// decodeHex returns the byte that two hexadecimal digits denote.
func decodeHex(digits string) (c byte, ok bool) {
	decoded, err := hex.DecodeString(digits)
	if err != nil {
		return 0, false
	}

	return decoded[0], true
}

// isUnreserved reports whether a byte means the same with and without an escape (RFC 3986, 2.3).
func isUnreserved(c byte) bool {
	isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
	isDigit := '0' <= c && c <= '9'

	return isLetter || isDigit || strings.IndexByte("-._~", c) >= 0
}
