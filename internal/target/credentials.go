package target

import (
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// Redacted replaces a key within a text that is kept.
const Redacted = "[redacted]"

const (
	// maxDecodeRounds bounds the decoding of nested URL encoding.
	maxDecodeRounds = 3
	// minBase64CoreLength is the length of the shortest base64 sequence that is
	// recognized as part of a key; shorter ones occur by chance.
	minBase64CoreLength = 8
	minSecretBytes      = 4
)

// Credentials detects and removes a caller's keys in what is sent to targets.
type Credentials struct {
	// IsKey reports whether a text is the key of any caller; nil matches none.
	IsKey       func(text string) bool
	secrets     []string
	hexForms    []string // in lower case
	base64Cores []string // see base64Core
}

// NewCredentials returns the credentials that a request carries in its headers. Their
// values are treated as secrets even if they are not valid keys.
func NewCredentials(h http.Header, isKey func(string) bool) *Credentials {
	c := &Credentials{IsKey: isKey}
	for name, values := range h {
		if !isCredentialName(name) || isCookieHeader(name) {
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
	c.hexForms = append(c.hexForms, hex.EncodeToString([]byte(s)))
	for _, encoding := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
		for shift := range 3 {
			if core := base64Core(encoding, s, shift); len(core) >= minBase64CoreLength {
				c.base64Cores = append(c.base64Cores, core)
			}
		}
	}
}

// base64Core returns the base64 characters of a secret that are independent of the
// bytes around it, if the secret starts at a byte offset of shift modulo 3.
func base64Core(encoding *base64.Encoding, secret string, shift int) string {
	text := encoding.EncodeToString([]byte(strings.Repeat("\x00", shift) + secret))
	start := (shift*8 + 5) / 6
	end := (shift + len(secret)) * 8 / 6
	if start >= end {
		return ""
	}
	return text[start:end]
}

// PresentIn reports whether a value contains a key in plain text, URL-encoded, in
// base64 or in hexadecimal.
func (c *Credentials) PresentIn(value string) bool {
	for range maxDecodeRounds {
		if c.matches(value) {
			return true
		}
		decoded := lenientUnescape(value)
		if decoded == value {
			return false
		}
		value = decoded
	}
	return c.matches(value)
}

func (c *Credentials) matches(value string) bool {
	if c.matchesPlain(value) || containsAny(value, c.base64Cores) || containsAny(strings.ToLower(value), c.hexForms) {
		return true
	}
	for _, word := range strings.FieldsFunc(value, isNotBase64) {
		word = strings.TrimRight(word, "=")
		if len(word) < minSecretBytes {
			continue
		}
		if c.IsKey != nil && c.IsKey(word) {
			return true
		}
		for _, encoding := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
			if decoded, err := encoding.DecodeString(word); err == nil && c.matchesPlain(string(decoded)) {
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

func (c *Credentials) matchesPlain(value string) bool {
	if containsAny(value, c.secrets) {
		return true
	}
	return c.IsKey != nil && len(value) >= minSecretBytes && c.IsKey(strings.TrimSpace(value))
}

func isNotBase64(r rune) bool {
	switch {
	case r >= 'A' && r <= 'Z', r >= 'a' && r <= 'z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("+/-_=", r)
}

// lenientUnescape decodes valid percent escapes and keeps invalid ones, because targets
// differ in how they handle those.
func lenientUnescape(s string) string {
	if !strings.Contains(s, "%") {
		return s
	}
	var unescaped strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if b, err := hex.DecodeString(s[i+1 : i+3]); err == nil {
				unescaped.WriteByte(b[0])
				i += 2
				continue
			}
		}
		unescaped.WriteByte(s[i])
	}
	return unescaped.String()
}

// Redact replaces keys in a text for logs and messages. A text that contains an encoded
// key is replaced as a whole.
func (c *Credentials) Redact(text string) string {
	for _, s := range c.secrets {
		text = strings.ReplaceAll(text, s, Redacted)
	}
	if c.PresentIn(text) {
		return Redacted
	}
	return text
}

// hopByHopHeaders are the hop-by-hop headers, which must not be forwarded, by
// normalized name.
var hopByHopHeaders = map[string]bool{
	"connection": true, "proxyconnection": true, "keepalive": true, "te": true, "trailer": true,
	"transferencoding": true, "upgrade": true, "proxyauthenticate": true, "http2settings": true, "expect": true,
}

// overrideHeaders could make a target handle a request as one of another method or path
// than its route allows.
var overrideHeaders = map[string]bool{
	"xhttpmethodoverride": true, "xhttpmethod": true, "xmethodoverride": true,
	"xoriginalurl": true, "xrewriteurl": true, "xforwardeduri": true,
}

var credentialNames = map[string]bool{
	"cookie": true, "cookie2": true, "xauthtoken": true, "xaccesstoken": true, "accesstoken": true,
	"authtoken": true, "xauthkey": true, "xapitoken": true, "apitoken": true,
	"ocpapimsubscriptionkey": true, "xsecretkey": true,
}

// normalizeName removes the differences between spellings of a header, parameter or
// member name.
func normalizeName(name string) string {
	return strings.Map(func(r rune) rune {
		switch r {
		case '-', '_', '.', ' ':
			return -1
		}
		return r
	}, strings.ToLower(name))
}

func isCookieHeader(name string) bool { return strings.HasPrefix(normalizeName(name), "cookie") }

func isCredentialName(name string) bool {
	n := normalizeName(name)
	return credentialNames[n] || strings.Contains(n, "authorization") || strings.Contains(n, "apikey")
}

// CleanHeader returns the headers that may be forwarded to a target. Headers named in
// Connection are hop-by-hop as well and are not forwarded.
func (c *Credentials) CleanHeader(h http.Header) http.Header {
	listed := connectionHeaders(h)
	clean := make(http.Header, len(h))
	for name, values := range h {
		n := normalizeName(name)
		if hopByHopHeaders[n] || overrideHeaders[n] || isCredentialName(name) || listed[textproto.CanonicalMIMEHeaderKey(name)] || c.PresentIn(name) {
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

func connectionHeaders(h http.Header) map[string]bool {
	names := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// CleanResponseHeader returns the headers of a target's response that may be forwarded
// to the caller.
func CleanResponseHeader(h http.Header) http.Header {
	listed := connectionHeaders(h)
	clean := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHopHeaders[normalizeName(name)] && !listed[textproto.CanonicalMIMEHeaderKey(name)] {
			clean[name] = values
		}
	}
	return clean
}

// CleanQuery removes the query parameters that contain a key or have the name of a
// credential, and keeps the others byte for byte.
func (c *Credentials) CleanQuery(rawQuery string) string {
	kept := make([]string, 0, 4)
	for pair := range strings.SplitSeq(rawQuery, "&") {
		name, _, _ := strings.Cut(pair, "=")
		withSpaces := strings.ReplaceAll(pair, "+", " ")
		if unescaped, err := url.QueryUnescape(name); err == nil {
			name = unescaped
		}
		_, value, _ := strings.Cut(pair, "=")
		if pair == "" || isCredentialName(name) || c.PresentIn(pair) || c.PresentIn(withSpaces) || c.PresentIn(value) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}

// CleanJSON removes keys from a JSON completion body in place: it deletes top-level
// members that have the name of a credential, and replaces keys within texts.
func (c *Credentials) CleanJSON(body map[string]any) {
	for name := range body {
		if isCredentialName(name) {
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

// redactText replaces keys and their encoded forms within a text and keeps the rest of
// it.
func (c *Credentials) redactText(text string) string {
	for _, s := range c.secrets {
		text = strings.ReplaceAll(text, s, Redacted)
		text = strings.ReplaceAll(text, url.QueryEscape(s), Redacted)
	}
	for _, encoded := range append(append([]string(nil), c.hexForms...), c.base64Cores...) {
		text = strings.ReplaceAll(text, encoded, Redacted)
	}
	return text
}
