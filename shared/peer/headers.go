package peer

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// NewHeaders encodes the end-to-end fields of a header, sorted by name.
func NewHeaders(header http.Header) []*Header {
	var fields []*Header
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	slices.Sort(names)
	nominated := connectionOptions(header)
	for _, name := range names {
		if slices.Contains(hopByHop, name) || slices.Contains(nominated, name) {
			continue
		}
		for _, value := range header[name] {
			fields = append(fields, &Header{Name: name, Value: value})
		}
	}
	return fields
}

// connectionOptions returns the fields that the Connection header names as hop-by-hop.
func connectionOptions(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(option)))
		}
	}
	return names
}

// AddHeaders adds encoded fields to a header.
func AddHeaders(header http.Header, fields []*Header) {
	for _, f := range fields {
		header.Add(f.GetName(), f.GetValue())
	}
}

// ContentLength returns the value of the first valid Content-Length field in bytes, or
// -1 if there is none.
func ContentLength(fields []*Header) int64 {
	for _, f := range fields {
		if f.GetName() != "Content-Length" {
			continue
		}
		if length, err := strconv.ParseInt(f.GetValue(), 10, 64); err == nil && length >= 0 {
			return length
		}
	}
	return -1
}
