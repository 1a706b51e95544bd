package clientlimit

import (
	"net/http"
	"net/netip"
)

// sourcePrefixIPv6 is the length in bits of the prefix of an IPv6 address that one client may have
// for itself.
const sourcePrefixIPv6 = 64

// SourceOf returns what identifies the client address of a request: an IPv4 address, or the prefix
// of an IPv6 address. It is nil if the address is not known.
func SourceOf(r *http.Request) []byte {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return nil
	}
	address := remote.Addr().Unmap()
	if address.Is6() {
		return address.AsSlice()[:sourcePrefixIPv6/8]
	}
	return address.AsSlice()
}
