package target

import (
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// Redacted replaces a key where a text has to stay.
const Redacted = "[redacted]"

const (
	// decodeRounds bounds nested URL encoding.
	decodeRounds = 3
	// minEncodedCore is the shortest stretch of base64 that is taken for a part of a
	// key; shorter ones occur by chance.
	minEncodedCore = 8
	minSecretBytes = 4
)

// Credentials finds a caller's keys in what is sent to targets.
type Credentials struct {
	// IsKey reports whether a text is the key of some caller; nil knows none.
	IsKey   func(text string) bool
	secrets []string
	hex     []string // lower-case hexadecimal forms
	base64  []string // the parts that do not depend on the surroundings
}

// NewCredentials returns the credentials that a request carries in its headers. Their
// values are treated as secrets whether or not they are valid.
func NewCredentials(h http.Header, isKey func(string) bool) *Credentials {
	c := &Credentials{IsKey: isKey}
	for name, values := range h {
		if !isCredentialHeader(name) || isCookieHeader(name) {
			continue
		}
		for _, v := range values {
			c.addSecret(v)
			if _, token, ok := strings.Cut(strings.TrimSpace(v), " "); ok {
				c.addSecret(token)
			}
		}
	}
	return c
}

func (c *Credentials) addSecret(s string) {
	s = strings.TrimSpace(s)
	if len(s) < minSecretBytes {
		return
	}
	c.secrets = append(c.secrets, s)
	c.hex = append(c.hex, hex.EncodeToString([]byte(s)))
	for _, encoding := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
		for shift := range 3 {
			if core := encodedCore(encoding, s, shift); len(core) >= minEncodedCore {
				c.base64 = append(c.base64, core)
			}
		}
	}
}

// encodedCore returns the base64 characters that a secret has within a longer text,
// whatever stands around it, if it starts at a byte offset of shift modulo 3.
func encodedCore(encoding *base64.Encoding, secret string, shift int) string {
	text := encoding.EncodeToString([]byte(strings.Repeat("\x00", shift) + secret))
	first := (shift*8 + 5) / 6
	whole := (shift + len(secret)) * 8 / 6
	if first >= whole {
		return ""
	}
	return text[first:whole]
}

// PresentIn reports whether a value holds a key, as it is or URL-encoded, in base64 or in
// hexadecimal digits.
func (c *Credentials) PresentIn(value string) bool {
	for range decodeRounds {
		if c.foundOnce(value) {
			return true
		}
		decoded := lenientUnescape(value)
		if decoded == value {
			return false
		}
		value = decoded
	}
	return c.foundOnce(value)
}

func (c *Credentials) foundOnce(value string) bool {
	if c.foundPlain(value) || containsAny(value, c.base64) || containsAny(strings.ToLower(value), c.hex) {
		return true
	}
	for _, word := range strings.FieldsFunc(value, notBase64) {
		word = strings.TrimRight(word, "=")
		if len(word) < minSecretBytes {
			continue
		}
		if c.IsKey != nil && c.IsKey(word) {
			return true
		}
		for _, encoding := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
			if decoded, err := encoding.DecodeString(word); err == nil && c.foundPlain(string(decoded)) {
				return true
			}
		}
	}
	return false
}

func containsAny(text string, parts []string) bool {
	for _, p := range parts {
		if strings.Contains(text, p) {
			return true
		}
	}
	return false
}

func (c *Credentials) foundPlain(value string) bool {
	if containsAny(value, c.secrets) {
		return true
	}
	return c.IsKey != nil && len(value) >= minSecretBytes && c.IsKey(strings.TrimSpace(value))
}

func notBase64(r rune) bool {
	switch {
	case r >= 'A' && r <= 'Z', r >= 'a' && r <= 'z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("+/-_=", r)
}

// lenientUnescape decodes every valid percent escape and keeps the rest, since
// targets differ in how they treat an invalid one.
func lenientUnescape(s string) string {
	if !strings.Contains(s, "%") {
		return s
	}
	var out strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if b, err := hex.DecodeString(s[i+1 : i+3]); err == nil {
				out.WriteByte(b[0])
				i += 2
				continue
			}
		}
		out.WriteByte(s[i])
	}
	return out.String()
}

// Redact replaces keys in a text for logs and messages.
func (c *Credentials) Redact(text string) string {
	for _, s := range c.secrets {
		text = strings.ReplaceAll(text, s, Redacted)
	}
	if c.PresentIn(text) {
		return Redacted
	}
	return text
}

// hopByHop are the headers that end at each hop, in normal form.
var hopByHop = map[string]bool{
	"connection": true, "proxyconnection": true, "keepalive": true, "te": true, "trailer": true,
	"transferencoding": true, "upgrade": true, "proxyauthenticate": true, "http2settings": true, "expect": true,
}

// overrides let a target take a request for one of another method, past the route.
var overrides = map[string]bool{
	"xhttpmethodoverride": true, "xhttpmethod": true, "xmethodoverride": true,
	"xoriginalurl": true, "xrewriteurl": true, "xforwardeduri": true,
}

var credentialNames = map[string]bool{
	"cookie": true, "cookie2": true, "xauthtoken": true, "xaccesstoken": true, "accesstoken": true,
	"authtoken": true, "xauthkey": true, "xapitoken": true, "apitoken": true,
	"ocpapimsubscriptionkey": true, "xsecretkey": true,
}

// normalName removes what spellings of a header name differ in.
func normalName(name string) string {
	return strings.Map(func(r rune) rune {
		switch r {
		case '-', '_', '.', ' ':
			return -1
		}
		return r
	}, strings.ToLower(name))
}

func isCookieHeader(name string) bool { return strings.HasPrefix(normalName(name), "cookie") }

func isCredentialHeader(name string) bool {
	n := normalName(name)
	return credentialNames[n] || strings.Contains(n, "authorization") || strings.Contains(n, "apikey")
}

// CleanHeader returns the headers that a target may see. Names listed in Connection
// end at this hop too.
func (c *Credentials) CleanHeader(h http.Header) http.Header {
	dropped := connectionNames(h)
	clean := make(http.Header, len(h))
	for name, values := range h {
		n := normalName(name)
		if hopByHop[n] || overrides[n] || isCredentialHeader(name) || dropped[textproto.CanonicalMIMEHeaderKey(name)] || c.PresentIn(name) {
			continue
		}
		for _, v := range values {
			if !c.PresentIn(v) {
				clean[name] = append(clean[name], v)
			}
		}
	}
	return clean
}

func connectionNames(h http.Header) map[string]bool {
	names := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// CleanResponseHeader returns the headers of a target's response without those that
// end at this hop.
func CleanResponseHeader(h http.Header) http.Header {
	dropped := connectionNames(h)
	clean := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHop[normalName(name)] && !dropped[textproto.CanonicalMIMEHeaderKey(name)] {
			clean[name] = values
		}
	}
	return clean
}

// CleanQuery removes the query parameters that hold a key or are named like one and
// keeps the others byte for byte.
func (c *Credentials) CleanQuery(rawQuery string) string {
	kept := make([]string, 0, 4)
	for pair := range strings.SplitSeq(rawQuery, "&") {
		name, _, _ := strings.Cut(pair, "=")
		plus := strings.ReplaceAll(pair, "+", " ")
		if unescaped, err := url.QueryUnescape(name); err == nil {
			name = unescaped
		}
		_, value, _ := strings.Cut(pair, "=")
		if pair == "" || isCredentialHeader(name) || c.PresentIn(pair) || c.PresentIn(plus) || c.PresentIn(value) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}

// CleanJSON removes keys from a JSON completion body, in place: top-level members
// named like a credential go, and keys within texts are replaced.
func (c *Credentials) CleanJSON(body map[string]any) {
	for name := range body {
		if isCredentialHeader(name) {
			delete(body, name)
		}
	}
	c.cleanMembers(body)
}

func (c *Credentials) cleanMembers(members map[string]any) {
	for name, v := range members {
		if c.PresentIn(name) {
			delete(members, name)
			continue
		}
		members[name] = c.cleanValue(v)
	}
}

func (c *Credentials) cleanValue(v any) any {
	switch v := v.(type) {
	case string:
		return c.redactText(v)
	case []any:
		for i := range v {
			v[i] = c.cleanValue(v[i])
		}
	case map[string]any:
		c.cleanMembers(v)
	}
	return v
}

// redactText replaces keys and their encoded forms within a long text, which must
// stay otherwise.
func (c *Credentials) redactText(text string) string {
	for _, s := range c.secrets {
		text = strings.ReplaceAll(text, s, Redacted)
		text = strings.ReplaceAll(text, url.QueryEscape(s), Redacted)
	}
	for _, encoded := range append(append([]string(nil), c.hex...), c.base64...) {
		text = strings.ReplaceAll(text, encoded, Redacted)
	}
	return text
}
