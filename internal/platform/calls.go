package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

// The JSON messages of the platform protocol.
type (
	rowJSON struct {
		Table   string `json:"table"`
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
	}
	conditionJSON struct {
		Table   string `json:"table"`
		Key     string `json:"key"`
		Version uint64 `json:"version"`
	}
	writeJSON struct {
		Table  string `json:"table"`
		Key    string `json:"key"`
		Value  []byte `json:"value,omitempty"`
		Delete bool   `json:"delete,omitempty"`
	}
	transactionJSON struct {
		Conditions []conditionJSON `json:"conditions"`
		Writes     []writeJSON     `json:"writes"`
	}
	committedJSON struct {
		Version uint64 `json:"version"`
	}
	rowsJSON struct {
		Rows []rowJSON `json:"rows"`
	}
	hostJSON struct {
		ID      string    `json:"id"`
		Role    string    `json:"role"`
		Address string    `json:"address"`
		Zone    string    `json:"zone"`
		State   HostState `json:"state"`
	}
	hostsJSON struct {
		Hosts []hostJSON `json:"hosts"`
	}
)

func (r rowJSON) row() Row {
	return Row{Table: r.Table, Key: r.Key, Value: r.Value, Version: r.Version}
}

// Get reads a row.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	req := request{op: "read row " + table + "/" + key, path: []string{"tables", table, "rows", key}}
	var row rowJSON
	if err := c.readJSON(ctx, req, &row); err != nil {
		return Row{}, err
	}
	return row.row(), nil
}

// Scan lists rows in version order. Rows of one transaction come in one response, which
// may therefore exceed the limit.
func (c *Client) Scan(ctx context.Context, table, prefix string, after uint64, limit int) ([]Row, error) {
	req := request{op: "scan table " + table, path: []string{"tables", table, "rows"}, query: url.Values{}}
	req.query.Set("after", strconv.FormatUint(after, 10))
	req.query.Set("prefix", prefix)
	req.query.Set("limit", strconv.Itoa(limit))
	var response rowsJSON
	if err := c.readJSON(ctx, req, &response); err != nil {
		return nil, err
	}
	rows := make([]Row, len(response.Rows))
	for i, r := range response.Rows {
		rows[i] = r.row()
	}
	return rows, nil
}

// Commit applies a transaction. It makes one attempt: after ErrUnknownOutcome the caller
// has to read back whether its attempt ID was stored.
func (c *Client) Commit(ctx context.Context, conditions []Condition, writes []Write) (uint64, error) {
	tx := transactionJSON{make([]conditionJSON, len(conditions)), make([]writeJSON, len(writes))}
	for i, condition := range conditions {
		tx.Conditions[i] = conditionJSON{Table: condition.Table, Key: condition.Key, Version: condition.Version}
	}
	for i, w := range writes {
		tx.Writes[i] = writeJSON(w)
	}
	req := request{op: "commit", method: http.MethodPost, path: []string{"transactions"}}
	if len(writes) > 0 {
		req.op = "commit to table " + writes[0].Table
	}
	var err error
	if req.body, err = json.Marshal(tx); err != nil {
		return 0, c.callError(req, errRejected, err)
	}
	body, err := c.write(ctx, req)
	if err != nil {
		return 0, err
	}
	var response committedJSON
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, c.callError(req, ErrUnknownOutcome, err)
	}
	return response.Version, nil
}

// PutObject stores an object. It makes one attempt; storing the same data again is safe.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.write(ctx, request{
		op: "put object " + name, method: http.MethodPut, path: []string{"objects", name}, body: data,
	})
	return err
}

// GetObject reads an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.read(ctx, request{op: "get object " + name, path: []string{"objects", name}})
}

// Hosts reads the host list.
func (c *Client) Hosts(ctx context.Context) ([]ListedHost, error) {
	var response hostsJSON
	if err := c.readJSON(ctx, request{op: "read host list", path: []string{"hosts"}}, &response); err != nil {
		return nil, err
	}
	hosts := make([]ListedHost, len(response.Hosts))
	for i, h := range response.Hosts {
		hosts[i] = ListedHost(h)
	}
	return hosts, nil
}

func (c *Client) readJSON(ctx context.Context, req request, out any) error {
	body, err := c.read(ctx, req)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return c.callError(req, ErrUnavailable, errors.WithMessage(err, "response body"))
	}
	return nil
}
