package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// FuzzHead guards against heads that pass the check and that the next recipient reads in
// another way than this host, once net/http has written them again.
func FuzzHead(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		req := &http.Request{Method: http.MethodPost}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), req)
		if err != nil || checkHead(resp) != "" {
			return
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		g := NewWithT(t)
		relayed := &http.Response{
			StatusCode: resp.StatusCode, ProtoMajor: 1, ProtoMinor: 1, Header: resp.Header.Clone(), Request: req,
			Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
		}
		relayed.Header.Del("Content-Length")
		relayed.Header.Del("Connection")
		var written bytes.Buffer
		g.Expect(relayed.Write(&written)).To(Succeed())
		again, err := http.ReadResponse(bufio.NewReader(&written), req)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(checkHead(again)).To(BeEmpty())
		g.Expect(again.StatusCode).To(Equal(resp.StatusCode))
		bodyAgain, err := io.ReadAll(again.Body)
		g.Expect(err).NotTo(HaveOccurred())
		if len(body) > 0 {
			g.Expect(bodyAgain).To(Equal(body))
		}
		g.Expect(countFields(again.Header)).To(Equal(countFields(relayed.Header)))
	})
}

// countFields returns how often each field occurs that is not about the framing.
func countFields(h http.Header) map[string]int {
	counts := map[string]int{}
	for name, values := range h {
		if name != "Content-Length" && name != "Transfer-Encoding" && name != "Trailer" {
			counts[name] = len(values)
		}
	}
	return counts
}
