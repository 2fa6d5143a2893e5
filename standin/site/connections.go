package site

import "net"

// ServeConnections accepts connections on a loopback port until the returned function is
// called, for stand-ins that send bytes which net/http does not. It closes each connection
// once it was handled.
func ServeConnections(handle func(conn net.Conn)) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close() }, nil
}
