package platform

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// DefaultCallTimeout bounds one call to the platform.
const DefaultCallTimeout = time.Second

// The paths and headers of the platform's HTTP interface.
const (
	CommitPath = "/table/commit"
	GetPath    = "/table/get"
	ScanPath   = "/table/scan"
	ObjectPath = "/objects/"
	HostsPath  = "/hosts"
	HostHeader = "Client-Host"
	// DataCentreParameter limits the host list to one data centre.
	DataCentreParameter = "data-centre"
)

// GetRequest is the body of a read of one row.
type GetRequest struct{ Key string }

// GetReply answers a GetRequest.
type GetReply struct {
	Row   Row
	Found bool
}

// ScanRequest is the body of a scan.
type ScanRequest struct {
	Prefix string
	After  string
	Limit  int
}

// ScanReply answers a ScanRequest.
type ScanReply struct{ Rows []Row }

// CommitReply answers a Transaction.
type CommitReply struct{ Revision uint64 }

// HostsReply answers a read of the host list.
type HostsReply struct{ Hosts []Host }

// Client speaks to the platform over HTTP; the zero values of its options work.
type Client struct {
	// Address is the IP address and port of the platform.
	Address string
	// Host names the calling host.
	Host string
	// CallTimeout bounds each call; 0 means DefaultCallTimeout.
	CallTimeout time.Duration

	once sync.Once
	http *fasthttp.HostClient
}

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*Client)(nil)
	_ Hosts   = (*Client)(nil)
)

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	var reply CommitReply
	err := c.post(ctx, CommitPath, tx, &reply)
	return reply.Revision, err
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, bool, error) {
	var reply GetReply
	err := c.post(ctx, GetPath, GetRequest{Key: key}, &reply)
	return reply.Row, reply.Found, err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var reply ScanReply
	err := c.post(ctx, ScanPath, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &reply)
	return reply.Rows, err
}

// ListHosts implements Hosts.
func (c *Client) ListHosts(ctx context.Context, dataCentre string) ([]Host, error) {
	status, body, err := c.do(ctx, fasthttp.MethodGet, HostsPath+"?"+DataCentreParameter+"="+dataCentre, nil)
	if err != nil {
		return nil, err
	}
	if err := statusError(status, HostsPath); err != nil {
		return nil, err
	}
	var reply HostsReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, problem.New(problem.Unavailable, "platform host list: %v", err)
	}
	return reply.Hosts, nil
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	status, _, err := c.do(ctx, fasthttp.MethodPut, ObjectPath+key, value)
	if err != nil {
		return err
	}
	return statusError(status, ObjectPath)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, bool, error) {
	status, body, err := c.do(ctx, fasthttp.MethodGet, ObjectPath+key, nil)
	if err != nil {
		return nil, false, err
	}
	if status == fasthttp.StatusNotFound {
		return nil, false, nil
	}
	return body, true, statusError(status, ObjectPath)
}

func (c *Client) post(ctx context.Context, path string, body, reply any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return problem.New(problem.Internal, "encode platform call: %v", err)
	}
	status, answer, err := c.do(ctx, fasthttp.MethodPost, path, encoded)
	if err != nil {
		return err
	}
	if err := statusError(status, path); err != nil {
		return err
	}
	if err := json.Unmarshal(answer, reply); err != nil {
		return problem.New(problem.Unavailable, "platform %s: %v", path, err)
	}
	return nil
}

func statusError(status int, path string) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusConflict:
		return problem.New(problem.Conflict, "platform %s: a condition doesn't hold", path)
	default:
		return problem.New(problem.Unavailable, "platform %s: status %d", path, status)
	}
}

// do runs one call and, when it fails, drops every idle connection, since one may
// have gone silent together with the others.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	c.once.Do(c.open)
	if err := ctx.Err(); err != nil {
		return 0, nil, problem.New(problem.Unavailable, "platform %s: %v", path, err)
	}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.Address + path)
	request.Header.Set(HostHeader, c.Host)
	request.SetBody(body)
	if err := c.http.DoDeadline(request, response, c.deadline(ctx)); err != nil {
		c.http.CloseIdleConnections()
		return 0, nil, problem.New(problem.Unavailable, "platform %s: %v", path, err)
	}
	answer := append([]byte(nil), response.Body()...)
	status := response.StatusCode()
	fasthttp.ReleaseRequest(request)
	fasthttp.ReleaseResponse(response)
	return status, answer, nil
}

func (c *Client) deadline(ctx context.Context) time.Time {
	timeout := c.CallTimeout
	if timeout == 0 {
		timeout = DefaultCallTimeout
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

func (c *Client) open() {
	c.http = &fasthttp.HostClient{
		Addr:                      c.Address,
		Name:                      "sequoiapick",
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		Dial: func(address string) (net.Conn, error) {
			return net.DialTimeout("tcp", address, DefaultCallTimeout)
		},
	}
}

// neverRetry keeps the HTTP library from repeating a call on its own.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) {
	return false, false
}
