package target

import (
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const callerKey = "sk-Lanna_01.x/y+z=42"

// unescapeAll decodes nested percent escapes, up to five levels.
func unescapeAll(s string) string {
	for range 5 {
		s = lenientUnescape(s)
	}
	return s
}

// revealsKey reports whether a text contains the key in a form that a target could
// decode. It shares no code with Credentials except for lenientUnescape.
func revealsKey(text, key string) bool {
	for _, form := range []string{text, unescapeAll(text), unescapeAll(strings.ReplaceAll(text, "+", " "))} {
		if strings.Contains(form, key) || strings.Contains(strings.ToLower(form), hex.EncodeToString([]byte(key))) {
			return true
		}
		for start := range form {
			for _, e := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
				end := start
				for end < len(form) && strings.IndexByte("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/-_", form[end]) >= 0 {
					end++
				}
				for cut := range 4 {
					if end-cut <= start {
						break
					}
					if decoded, err := e.DecodeString(form[start : end-cut]); err == nil && strings.Contains(string(decoded), key) {
						return true
					}
				}
			}
		}
	}
	return false
}

func percentEncodeAll(s string) string {
	var out strings.Builder
	for i := range len(s) {
		out.WriteString("%" + hex.EncodeToString([]byte{s[i]}))
	}
	return out.String()
}

// keyEncodings returns the encodings of a key that a caller may use by mistake.
func keyEncodings(key string) []string {
	return []string{
		key, "Bearer " + key, "token=" + key + ";", url.QueryEscape(key), url.PathEscape(key), percentEncodeAll(key),
		percentEncodeAll(percentEncodeAll(key)),
		base64.StdEncoding.EncodeToString([]byte(key)), base64.RawURLEncoding.EncodeToString([]byte(key)),
		base64.StdEncoding.EncodeToString([]byte("user:" + key)), base64.URLEncoding.EncodeToString([]byte("u:" + key + "\n")),
		"Basic " + base64.StdEncoding.EncodeToString([]byte("ab:"+key)),
		url.QueryEscape(base64.StdEncoding.EncodeToString([]byte(key))),
		hex.EncodeToString([]byte(key)), strings.ToUpper(hex.EncodeToString([]byte(key))),
	}
}

func bearerCredentials(key string) *Credentials {
	return NewCredentials(http.Header{"Authorization": {"Bearer " + key}}, nil)
}

// Guards against an encoded key that reaches a target.
func TestEncodedKeysAreRemoved(t *testing.T) {
	g := NewWithT(t)
	c := bearerCredentials(callerKey)
	for _, spelling := range keyEncodings(callerKey) {
		header := http.Header{"X-Note": {spelling, "harmless"}, "X-Other": {"kept"}}
		clean := c.CleanHeader(header)
		g.Expect(clean).To(Equal(http.Header{"X-Note": {"harmless"}, "X-Other": {"kept"}}), spelling)
		g.Expect(c.CleanQuery("a=1&note="+spelling+"&b=2")).To(Equal("a=1&b=2"), spelling)
		g.Expect(c.CleanQuery("a=1&"+url.QueryEscape(spelling)+"=x")).To(Equal("a=1"), spelling)
	}
}

// Guards against forwarded credential headers with an unusual spelling, and against the
// loss of harmless headers.
func TestCredentialHeaderNames(t *testing.T) {
	g := NewWithT(t)
	c := bearerCredentials(callerKey)
	header := http.Header{}
	for _, name := range []string{
		"Authorization", "authorization", "AUTHORIZATION", "Proxy-Authorization", "proxy_authorization", "X-Authorization",
		"Cookie", "cookie", "Cookie2", "Api-Key", "api_key", "apikey", "X-API-Key", "x_api_key", "X-Goog-Api-Key",
		"Ocp-Apim-Subscription-Key", "X-Auth-Token", "X-Access-Token", "Connection", "Keep-Alive", "TE", "Trailer",
		"Transfer-Encoding", "Upgrade", "Proxy-Connection", "Proxy-Authenticate", "Expect", "X-HTTP-Method-Override", "X-Hop",
	} {
		header[name] = []string{"other value"}
	}
	header["Connection"] = []string{"keep-alive, x-hop"}
	header["Content-Type"] = []string{"application/json"}
	header["Idempotency-Key"] = []string{"booking-1"}
	g.Expect(c.CleanHeader(header)).To(Equal(http.Header{
		"Content-Type": {"application/json"}, "Idempotency-Key": {"booking-1"},
	}))
	g.Expect(c.CleanQuery("api_key=1&api%5Fkey=2&Authorization=3&x=%zz&y=a+b")).To(Equal("x=%zz&y=a+b"))
}

// Guards against a forwarded key on an open route, where no Authorization header names
// it.
func TestKnownKeysAreRemovedWithoutAuthorization(t *testing.T) {
	g := NewWithT(t)
	c := NewCredentials(http.Header{}, func(s string) bool { return s == callerKey })
	for _, spelling := range []string{callerKey, url.QueryEscape(callerKey), base64.StdEncoding.EncodeToString([]byte(callerKey))} {
		g.Expect(c.CleanHeader(http.Header{"X-Note": {spelling}})).To(BeEmpty(), spelling)
		g.Expect(c.CleanQuery("k="+spelling)).To(BeEmpty(), spelling)
	}
}

// Guards against a key in a completion body, and against changes to the rest of the
// body.
func TestJSONBodyIsCleaned(t *testing.T) {
	g := NewWithT(t)
	var body map[string]any
	text := `{"model":"m","api_key":"x","Authorization":"y","user":"` + callerKey + `","messages":[{"role":"user",
	"content":"my key is ` + callerKey + `, or ` + base64.StdEncoding.EncodeToString([]byte("u:"+callerKey)) + ` ok"}],
	"metadata":{"` + callerKey + `":1,"api_key_count":2},"temperature":0.5}`
	g.Expect(json.Unmarshal([]byte(text), &body)).To(Succeed())
	bearerCredentials(callerKey).CleanJSON(body)
	clean, err := json.Marshal(body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revealsKey(string(clean), callerKey)).To(BeFalse(), string(clean))
	g.Expect(body).To(HaveKeyWithValue("temperature", 0.5))
	g.Expect(body).NotTo(Or(HaveKey("api_key"), HaveKey("Authorization")))
	g.Expect(body["metadata"]).To(Equal(map[string]any{"api_key_count": float64(2)}))
	g.Expect(body["messages"].([]any)[0].(map[string]any)["content"]).To(HavePrefix("my key is " + Redacted))
}

// Guards against keys in any encoding and position: whatever surrounds an encoded key,
// the cleaned request must not reveal it.
func TestCleanedRequestNeverRevealsKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`sk-[A-Za-z0-9_.+/=-]{13,40}`).Draw(t, "key")
		before := rapid.StringMatching(`[ -~]{0,7}`).Draw(t, "before")
		after := rapid.StringMatching(`[ -~]{0,7}`).Draw(t, "after")
		value := rapid.SampledFrom([]string{
			before + key + after,
			base64.StdEncoding.EncodeToString([]byte(before + key + after)),
			base64.RawURLEncoding.EncodeToString([]byte(before + key + after)),
			url.QueryEscape(before + key + after),
			before + rapid.SampledFrom(keyEncodings(key)).Draw(t, "spelling") + after,
		}).Draw(t, "value")
		c := bearerCredentials(key)
		for _, v := range c.CleanHeader(http.Header{"X-Note": {value}})["X-Note"] {
			if revealsKey(v, key) {
				t.Fatalf("header %q reveals %q", v, key)
			}
		}
		if query := c.CleanQuery("n=" + value); revealsKey(query, key) {
			t.Fatalf("query %q reveals %q", query, key)
		}
	})
}

// Guards against a header or query that reveals the key after cleaning.
func FuzzCredentials(f *testing.F) {
	for _, spelling := range keyEncodings(callerKey) {
		f.Add("X-Note", spelling)
	}
	f.Add("x_Api.key", "value")
	f.Add("Connection", "x-note")
	f.Add("A", "%2573k-")
	f.Fuzz(func(t *testing.T, name, value string) {
		c := bearerCredentials(callerKey)
		for n, values := range c.CleanHeader(http.Header{name: {value}}) {
			for _, v := range append(values, n) {
				if revealsKey(v, callerKey) {
					t.Fatalf("%q: %q reveals the key", n, v)
				}
			}
		}
		if query := c.CleanQuery(name + "=" + value); revealsKey(query, callerKey) {
			t.Fatalf("query %q reveals the key", query)
		}
	})
}
