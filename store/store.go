// Package store is an HTTP client of the object API that this project defines
// itself. "cyclamensaddle node" and the operator commands use it to read, write and
// watch objects. "cyclamensaddle sidecar" reads and writes the hosting platform's
// own store instead, through the Store of package platform.
package store

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/frame"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// DefaultTimeout is the default time limit of a call other than a watch.
const DefaultTimeout = 2 * time.Second

// watchSlack is how much longer than its wait a watch may take before it times
// out.
const watchSlack = 2 * time.Second

// responseLimit bounds a response body, in bytes; a list holds many objects.
const responseLimit = 64 << 20

var _ cyclam.Platform = (*Store)(nil)

// Store is a client of one platform; set its fields before the first call. Errors
// carry the step and the platform's address.
type Store struct {
	// Address is the platform's host:port.
	Address string
	// Timeout bounds each call other than a watch. New sets it to DefaultTimeout.
	Timeout time.Duration

	client fasthttp.Client
}

// New returns a client of the platform at address, which is a host:port.
func New(address string) *Store {
	return &Store{
		Address: address,
		Timeout: DefaultTimeout,
		client: fasthttp.Client{
			Dial:                     dial,
			MaxResponseBodySize:      responseLimit,
			MaxIdleConnDuration:      time.Minute,
			NoDefaultUserAgentHeader: true,
			RetryIfErr:               neverRetry,
		},
	}
}

// dial opens a connection that checks the heads of answers.
func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return frame.NewHeadConn(conn), nil
}

func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Get returns the object with the given key, or cyclam.ErrNotFound.
func (s *Store) Get(ctx context.Context, key cyclam.Key) (cyclam.Object, error) {
	var object cyclam.Object
	err := s.call(ctx, s.Timeout, fasthttp.MethodGet, objectPath(key), nil, &object)
	return object, cyclam.AtStep("get "+key.String(), s.Address, err)
}

// List returns all objects of the given kinds.
func (s *Store) List(ctx context.Context, kinds ...cyclam.Kind) (cyclam.ObjectList, error) {
	var list cyclam.ObjectList
	err := s.call(ctx, s.Timeout, fasthttp.MethodGet, "/v1/objects?kinds="+joinKinds(kinds), nil, &list)
	return list, cyclam.AtStep("list", s.Address, err)
}

// Put writes an object if its stored revision equals object.Revision, and returns
// cyclam.ErrConflict otherwise. It returns the object as stored.
func (s *Store) Put(ctx context.Context, object cyclam.Object) (cyclam.Object, error) {
	body, err := json.Marshal(object)
	if err != nil {
		return cyclam.Object{}, errors.Wrap(err, "encode "+object.Key().String())
	}
	var stored cyclam.Object
	err = s.call(ctx, s.Timeout, fasthttp.MethodPut, objectPath(object.Key()), body, &stored)
	return stored, cyclam.AtStep("put "+object.Key().String(), s.Address, err)
}

// Delete removes an object if its stored revision equals that of at, and returns
// cyclam.ErrConflict otherwise.
func (s *Store) Delete(ctx context.Context, key cyclam.Key, at cyclam.Position) error {
	path := objectPath(key) + "?revision=" + strconv.FormatUint(at.Revision, 10)
	err := s.call(ctx, s.Timeout, fasthttp.MethodDelete, path, nil, nil)
	return cyclam.AtStep("delete "+key.String(), s.Address, err)
}

// Watch returns the changes of the given kinds after position from, or none once
// wait has passed.
func (s *Store) Watch(ctx context.Context, from cyclam.Position, wait time.Duration, kinds ...cyclam.Kind) (cyclam.ObjectChanges, error) {
	path := "/v1/watch?kinds=" + joinKinds(kinds) +
		"&from=" + strconv.FormatUint(from.Revision, 10) +
		"&wait=" + wait.String()
	var changes cyclam.ObjectChanges
	err := s.call(ctx, wait+watchSlack, fasthttp.MethodGet, path, nil, &changes)
	return changes, cyclam.AtStep("watch", s.Address, err)
}

func (s *Store) call(ctx context.Context, timeout time.Duration, method, path string, body []byte, into any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.Address + path)
	req.SetBody(body)
	if err := s.client.DoTimeout(req, resp, timeout); err != nil {
		return errors.Wrap(cyclam.ErrUnavailable, err.Error())
	}
	if err := statusError(resp); err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), into), "decode response")
}

// statusError returns the error of package cyclam for a response's status, or nil
// for status 200.
func statusError(resp *fasthttp.Response) error {
	text := strings.TrimSpace(string(resp.Body()))
	switch code := resp.StatusCode(); code {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return cyclam.ErrNotFound
	case fasthttp.StatusConflict:
		return cyclam.ErrConflict
	case fasthttp.StatusGone:
		return cyclam.ErrCompacted
	case fasthttp.StatusBadRequest, fasthttp.StatusRequestEntityTooLarge:
		return errors.Wrap(cyclam.ErrInvalid, text)
	default:
		return errors.Wrap(cyclam.ErrUnavailable, "status "+strconv.Itoa(code)+": "+text)
	}
}

func objectPath(key cyclam.Key) string {
	return "/v1/objects/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}

func joinKinds(kinds []cyclam.Kind) string {
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = string(kind)
	}
	return strings.Join(names, ",")
}
