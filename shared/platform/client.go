package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"chervilswitch.example/shared/http1"
)

const (
	requestTimeout   = 2 * time.Second
	maxResponseBytes = 64 << 20
	maxPageRecords   = 1000
)

// Client is an HTTP client of the platform. It is safe for concurrent use.
type Client struct {
	base       string
	httpClient *http.Client
}

// NewClient returns a client for the platform at an address. A nil transport means the zero
// value of http1.Transport.
func NewClient(address netip.AddrPort, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = http1.Transport{}
	}
	return &Client{
		base:       "http://" + address.String(),
		httpClient: &http.Client{Transport: transport},
	}
}

// Append appends a record to a stream and returns its offset. After an error that
// matches ErrUnavailable, the record may or may not have been appended.
func (c *Client) Append(ctx context.Context, stream Stream, data json.RawMessage) (Offset, error) {
	var response struct {
		Offset Offset `json:"offset"`
	}
	err := c.call(ctx, http.MethodPost, c.streamURL(stream), data, requestTimeout, &response)
	return response.Offset, err
}

// Read returns a page of a stream's records from an offset on. If there are none yet,
// it waits for the first one, for at most the given time.
func (c *Client) Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("waitMilliseconds", strconv.FormatInt(wait.Milliseconds(), 10))
	query.Set("max", strconv.Itoa(maxPageRecords))
	var page Page
	requestURL := c.streamURL(stream) + "?" + query.Encode()
	err := c.call(ctx, http.MethodGet, requestURL, nil, wait+requestTimeout, &page)
	return page, err
}

// Instances returns the platform's list of instances, which may be stale.
func (c *Client) Instances(ctx context.Context) ([]InstanceState, error) {
	var list []InstanceState
	err := c.call(ctx, http.MethodGet, c.base+"/instances", nil, requestTimeout, &list)
	return list, err
}

func (c *Client) streamURL(stream Stream) string {
	return c.base + "/streams/" + url.PathEscape(string(stream))
}

func (c *Client) call(ctx context.Context, method, requestURL string, body []byte, timeout time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create platform request: %w", err)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return ErrUnavailable.Wrap(err, "%s %s", method, requestURL)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return ErrUnavailable.Wrap(err, "read response body")
	}
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		return ErrRateLimited.New("%s", bytes.TrimSpace(raw))
	case response.StatusCode != http.StatusOK:
		return ErrUnavailable.New("unexpected status %d: %s", response.StatusCode, bytes.TrimSpace(raw))
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return ErrUnavailable.Wrap(err, "decode response body")
	}
	return nil
}
