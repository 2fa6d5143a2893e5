package wire

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// authority signs test certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func writePEM(t *testing.T, name, blockType string, der []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// newCertificate issues a certificate. With a nil parent it is a self-signed authority.
func newCertificate(t *testing.T, parent *authority) (*x509.Certificate, *ecdsa.PrivateKey, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, BasicConstraintsValid: true, IsCA: parent == nil,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.certificate, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return certificate, key, der
}

func newAuthority(t *testing.T) *authority {
	certificate, key, der := newCertificate(t, nil)
	return &authority{certificate, key, writePEM(t, "ca.pem", "CERTIFICATE", der)}
}

// tlsCredentials returns credentials that are signed by signer and accept peers signed by
// trusted.
func tlsCredentials(t *testing.T, signer, trusted *authority) *Credentials {
	t.Helper()
	_, key, der := newCertificate(t, signer)
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	c, err := TLSCredentials(writePEM(t, "cert.pem", "CERTIFICATE", der),
		writePEM(t, "key.pem", "EC PRIVATE KEY", keyDER), trusted.file)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against TLS that authenticates only one side.
func TestMutualTLS(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	address := startServer(t, tlsCredentials(t, ours, ours), func(s *Server) { s.Handle(TypeProbe, echoHandler) })
	call := func(c *Credentials) error {
		return startClient(t, c).Call(contextWithTimeout(t, 5*time.Second), address, &echo{Text: "hello"}, &echo{})
	}
	g.Expect(call(tlsCredentials(t, ours, ours))).To(Succeed())
	g.Expect(call(tlsCredentials(t, theirs, ours))).NotTo(Succeed())
	g.Expect(errors.Is(call(tlsCredentials(t, ours, theirs)), ErrHandshake)).To(BeTrue())
	g.Expect(call(secretCredentials(t, "a shared secret of the fleet"))).NotTo(Succeed())
}
