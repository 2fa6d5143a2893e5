package host

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

func (h *Host) listen() (err error) {
	s := &h.options.Settings
	if h.callerListener, err = net.Listen("tcp", s.CallerListen); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if h.adminListener, err = net.Listen("tcp", s.AdminListen); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	incarnation, err := fleet.NewIncarnation()
	if err != nil {
		return err
	}
	peer := wire.Peer{HostID: s.HostID, Incarnation: incarnation, Address: s.InnerAddress}
	credentials, err := h.credentials()
	if err != nil {
		return err
	}
	h.wireServer = wire.NewServer(wire.ServerOptions{Self: peer, Credentials: credentials, Logger: h.logger.Named("wire")})
	innerAddress, err := h.wireServer.Listen(s.InnerListen)
	if err != nil {
		return errors.Wrap(err, "listen for hosts")
	}
	h.self = config.Member{
		HostID: s.HostID, Incarnation: incarnation, Zone: s.Zone, Region: s.Region, Weight: s.Weight,
		CallerAddress: advertisedAddress(s.CallerAddress, h.callerListener.Addr()),
		InnerAddress:  advertisedAddress(s.InnerAddress, innerAddress),
		AdminAddress:  advertisedAddress(s.AdminAddress, h.adminListener.Addr()),
	}
	peer.Address = h.self.InnerAddress
	h.wireClient = wire.NewClient(wire.ClientOptions{
		Self: peer, Credentials: credentials, LocalIP: sourceAddress(innerAddress), Logger: h.logger.Named("wire"),
	})
	return nil
}

// sourceAddress returns the IP that the inner listener is bound to, or the zero
// address if it is bound to a wildcard address.
func sourceAddress(bound net.Addr) netip.Addr {
	address, err := netip.ParseAddrPort(bound.String())
	if err != nil || address.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return address.Addr()
}

// advertisedAddress returns the configured address with port 0 replaced by the bound port.
func advertisedAddress(setting string, bound net.Addr) string {
	ip, port, err := net.SplitHostPort(setting)
	if err != nil || port != "0" {
		return setting
	}
	_, boundPort, err := net.SplitHostPort(bound.String())
	if err != nil {
		return setting
	}
	return net.JoinHostPort(ip, boundPort)
}

func (h *Host) credentials() (*wire.Credentials, error) {
	s := &h.options.Settings
	if s.TLSCert != "" {
		return wire.TLSCredentials(s.TLSCert, s.TLSKey, s.TLSCA)
	}
	return wire.SecretCredentials([]byte(s.FleetSecret))
}
