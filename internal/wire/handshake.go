package wire

import (
	"bufio"
	"context"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"io"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	nonceBytes       = 32
	sessionKeyBytes  = 32
	minSecretBytes   = 16
	maxHelloBytes    = 2 << 10
	handshakeTimeout = 3 * time.Second
	exporterLabel    = "EXPORTER-sequoiaroad-wire-v1"
	clientKeyInfo    = "sequoiaroad wire v1 client to server"
	serverKeyInfo    = "sequoiaroad wire v1 server to client"
)

// ErrHandshake means that the peer could not be authenticated.
var ErrHandshake = errors.New("handshake failed")

// Credentials authenticate a host to its peers. With a secret, frames are
// authenticated but not encrypted; with TLS they are both.
type Credentials struct {
	secret []byte
	server *tls.Config
	client *tls.Config
}

// SecretCredentials returns credentials for a pre-shared secret of at least 16 bytes.
func SecretCredentials(secret []byte) (*Credentials, error) {
	if len(secret) < minSecretBytes {
		return nil, errors.Errorf("the fleet's secret has %d bytes, at least %d are needed", len(secret), minSecretBytes)
	}
	return &Credentials{secret: append([]byte(nil), secret...)}, nil
}

// TLSCredentials returns credentials for mutual TLS 1.3. The certificate must contain the
// host's IP address and must be signed by an authority in caFile.
func TLSCredentials(certFile, keyFile, caFile string) (*Credentials, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load TLS certificate")
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "load TLS authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("load TLS authorities: %s holds no certificate", caFile)
	}
	base := tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	server, client := base.Clone(), base.Clone()
	server.ClientCAs, server.ClientAuth = pool, tls.RequireAndVerifyClientCert
	// A resumed session would skip the check of a certificate that has expired.
	server.SessionTicketsDisabled = true
	client.RootCAs = pool
	return &Credentials{server: server, client: client}, nil
}

// hello is the first message of the handshake in each direction.
type hello struct {
	Version     int    `msgpack:"v"`
	Nonce       []byte `msgpack:"n"`
	HostID      string `msgpack:"h"`
	Incarnation string `msgpack:"i"`
	Address     string `msgpack:"a"`
	Zone        string `msgpack:"z,omitempty"`
}

// session is an authenticated connection.
type session struct {
	conn    net.Conn
	reader  *bufio.Reader
	send    *frameMAC
	receive *frameMAC
	peer    Peer
	// traffic counts the frames of the connection, which go to a peer of this reach; it
	// may be nil.
	traffic *Traffic
	reach   Reach
}

// countIn makes the session count its frames.
func (s *session) countIn(t *Traffic) { s.traffic, s.reach = t, t.reach(s.peer) }

// handshakeClient authenticates an outgoing connection. The server proves first
// that it has the secret, so that no request reaches an unauthenticated server.
func handshakeClient(ctx context.Context, conn net.Conn, c *Credentials, self Peer) (*session, error) {
	limit := time.Now().Add(handshakeTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(limit) {
		limit = deadline
	}
	if err := conn.SetDeadline(limit); err != nil {
		return nil, errors.Wrap(err, "handshake")
	}
	secret := c.secret
	if c.client != nil {
		config := c.client.Clone()
		config.ServerName, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
		var err error
		if conn, secret, err = startTLS(ctx, tls.Client(conn, config)); err != nil {
			return nil, err
		}
	}
	s := &session{conn: conn, reader: bufio.NewReader(conn)}
	sent, err := writeHello(conn, self)
	if err != nil {
		return nil, err
	}
	received, err := s.readHello()
	if err != nil {
		return nil, err
	}
	if err := s.deriveKeys(secret, sent, received, true); err != nil {
		return nil, err
	}
	if err := s.readConfirmation(); err != nil {
		return nil, err
	}
	if err := s.writeConfirmation(); err != nil {
		return nil, err
	}
	return s, errors.Wrap(conn.SetDeadline(time.Time{}), "handshake")
}

// handshakeServer authenticates an accepted connection.
func handshakeServer(ctx context.Context, conn net.Conn, c *Credentials, self Peer) (*session, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, errors.Wrap(err, "handshake")
	}
	secret := c.secret
	if c.server != nil {
		var err error
		if conn, secret, err = startTLS(ctx, tls.Server(conn, c.server)); err != nil {
			return nil, err
		}
	}
	s := &session{conn: conn, reader: bufio.NewReader(conn)}
	received, err := s.readHello()
	if err != nil {
		return nil, err
	}
	sent, err := writeHello(conn, self)
	if err != nil {
		return nil, err
	}
	if err := s.deriveKeys(secret, received, sent, false); err != nil {
		return nil, err
	}
	if err := s.writeConfirmation(); err != nil {
		return nil, err
	}
	if err := s.readConfirmation(); err != nil {
		return nil, err
	}
	return s, errors.Wrap(conn.SetDeadline(time.Time{}), "handshake")
}

// startTLS completes the TLS handshake and returns the connection and a secret that is
// derived from the TLS session.
func startTLS(ctx context.Context, conn *tls.Conn) (net.Conn, []byte, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, nil, errors.Wrapf(ErrHandshake, "TLS: %v", err)
	}
	state := conn.ConnectionState()
	secret, err := state.ExportKeyingMaterial(exporterLabel, nil, sessionKeyBytes)
	return conn, secret, errors.Wrap(err, "export TLS keying material")
}

func writeHello(w io.Writer, self Peer) ([]byte, error) {
	h := hello{Version: protocolVersion, Nonce: make([]byte, nonceBytes),
		HostID: self.HostID, Incarnation: self.Incarnation, Address: self.Address, Zone: self.Zone}
	if _, err := rand.Read(h.Nonce); err != nil {
		return nil, errors.Wrap(err, "handshake nonce")
	}
	body, err := msgpack.Marshal(&h)
	if err != nil || len(body) > maxHelloBytes {
		return nil, errors.Wrapf(ErrHandshake, "encode hello of %d bytes: %v", len(body), err)
	}
	out := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	_, err = w.Write(append(out, body...))
	return body, errors.Wrap(err, "send hello")
}

func (s *session) readHello() ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(s.reader, head[:]); err != nil {
		return nil, errors.Wrap(err, "read hello")
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > maxHelloBytes {
		return nil, errors.Wrapf(ErrHandshake, "hello of %d bytes", length)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return nil, errors.Wrap(err, "read hello")
	}
	var h hello
	if err := msgpack.Unmarshal(body, &h); err != nil {
		return nil, errors.Wrapf(ErrHandshake, "decode hello: %v", err)
	}
	if h.Version != protocolVersion || len(h.Nonce) != nonceBytes {
		return nil, errors.Wrapf(ErrHandshake, "hello has version %d and a nonce of %d bytes", h.Version, len(h.Nonce))
	}
	s.peer = Peer{HostID: h.HostID, Incarnation: h.Incarnation, Address: h.Address, Zone: h.Zone}
	return body, nil
}

// deriveKeys derives one key for each direction. The salt is a hash of both hellos, with
// their nonces and identities, so that a modification of either is detected.
func (s *session) deriveKeys(secret, clientHello, serverHello []byte, isClient bool) error {
	transcript := sha256.New()
	transcript.Write(clientHello)
	transcript.Write(serverHello)
	salt := transcript.Sum(nil)
	clientKey, err := hkdf.Key(sha256.New, secret, salt, clientKeyInfo, sessionKeyBytes)
	if err != nil {
		return errors.Wrap(err, "derive session key")
	}
	serverKey, err := hkdf.Key(sha256.New, secret, salt, serverKeyInfo, sessionKeyBytes)
	if err != nil {
		return errors.Wrap(err, "derive session key")
	}
	if isClient {
		s.send, s.receive = newFrameMAC(clientKey), newFrameMAC(serverKey)
	} else {
		s.send, s.receive = newFrameMAC(serverKey), newFrameMAC(clientKey)
	}
	return nil
}

// writeConfirmation sends an empty frame, whose MAC proves knowledge of the secret.
func (s *session) writeConfirmation() error {
	out, err := appendFrame(nil, frame{messageType: TypeAck}, s.send)
	if err != nil {
		return err
	}
	_, err = s.conn.Write(out)
	return errors.Wrap(err, "send handshake confirmation")
}

func (s *session) readConfirmation() error {
	f, err := readFrame(s.reader, s.receive)
	if err != nil {
		return errors.Wrapf(ErrHandshake, "read confirmation: %v", err)
	}
	if f.messageType != TypeAck || len(f.body) != 0 {
		return errors.Wrap(ErrHandshake, "unexpected confirmation frame")
	}
	return nil
}
