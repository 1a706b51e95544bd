package clientlimit

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against clients that count as many sources because they use many addresses of their own
// IPv6 network, and against an IPv4 client that counts twice, by both forms of its address.
func TestSourceIsIPv4AddressOrIPv6Network(t *testing.T) {
	for remote, want := range map[string]string{
		"10.1.2.3:4000": "\x0a\x01\x02\x03", "[::ffff:10.1.2.3]:5000": "\x0a\x01\x02\x03",
		"[2001:db8:0:1::5]:1": "\x20\x01\x0d\xb8\x00\x00\x00\x01", "[2001:db8:0:1:ff::6]:2": "\x20\x01\x0d\xb8\x00\x00\x00\x01",
		"": "", "pipe": "",
	} {
		assert.Equal(t, string(SourceOf(&http.Request{RemoteAddr: remote})), want, remote)
	}
}
