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
)

const (
	requestTimeout   = 2 * time.Second
	maxResponseBytes = 64 << 20
	maxPageRecords   = 1000
)

// Client calls the platform over HTTP. It is safe for concurrent use.
type Client struct {
	base       string
	httpClient *http.Client
}

// NewClient speaks to the platform at an address. A nil transport means the
// library's default one.
func NewClient(address netip.AddrPort, transport http.RoundTripper) *Client {
	return &Client{
		base:       "http://" + address.String(),
		httpClient: &http.Client{Transport: transport},
	}
}

// Append adds data to a stream and returns its offset. An error that matches
// ErrUnavailable leaves open whether the record was added.
func (c *Client) Append(ctx context.Context, stream Stream, data json.RawMessage) (Offset, error) {
	var answer struct {
		Offset Offset `json:"offset"`
	}
	err := c.call(ctx, http.MethodPost, c.streamURL(stream), data, requestTimeout, &answer)
	return answer.Offset, err
}

// Read returns the records from an offset on. It waits up to the given time
// for the first one.
func (c *Client) Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("waitMilliseconds", strconv.FormatInt(wait.Milliseconds(), 10))
	query.Set("max", strconv.Itoa(maxPageRecords))
	var page Page
	address := c.streamURL(stream) + "?" + query.Encode()
	err := c.call(ctx, http.MethodGet, address, nil, wait+requestTimeout, &page)
	return page, err
}

// Instances returns the platform's list, which lags.
func (c *Client) Instances(ctx context.Context) ([]InstanceState, error) {
	var list []InstanceState
	err := c.call(ctx, http.MethodGet, c.base+"/instances", nil, requestTimeout, &list)
	return list, err
}

func (c *Client) streamURL(stream Stream) string {
	return c.base + "/streams/" + url.PathEscape(string(stream))
}

func (c *Client) call(ctx context.Context, method, address string, body []byte, timeout time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform request: %w", err)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return ErrUnavailable.Wrap(err, "%s %s", method, address)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return ErrUnavailable.Wrap(err, "read the answer")
	}
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		return ErrRateLimited.New("%s", bytes.TrimSpace(raw))
	case response.StatusCode != http.StatusOK:
		return ErrUnavailable.New("status %d: %s", response.StatusCode, bytes.TrimSpace(raw))
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return ErrUnavailable.Wrap(err, "decode the answer")
	}
	return nil
}
