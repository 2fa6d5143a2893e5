package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

// The JSON forms of the platform protocol.
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
	k := call{step: "read row " + table + "/" + key, path: []string{"tables", table, "rows", key}}
	var row rowJSON
	if err := c.readJSON(ctx, k, &row); err != nil {
		return Row{}, err
	}
	return row.row(), nil
}

// Scan lists rows in version order. Rows of one transaction come in one answer,
// which may therefore exceed the limit.
func (c *Client) Scan(ctx context.Context, table, prefix string, after uint64, limit int) ([]Row, error) {
	k := call{step: "scan table " + table, path: []string{"tables", table, "rows"}, query: url.Values{}}
	k.query.Set("after", strconv.FormatUint(after, 10))
	k.query.Set("prefix", prefix)
	k.query.Set("limit", strconv.Itoa(limit))
	var answer rowsJSON
	if err := c.readJSON(ctx, k, &answer); err != nil {
		return nil, err
	}
	rows := make([]Row, len(answer.Rows))
	for i, r := range answer.Rows {
		rows[i] = r.row()
	}
	return rows, nil
}

// Commit makes a transaction. It is attempted once: after ErrUnknownOutcome the
// caller reads its attempt id back.
func (c *Client) Commit(ctx context.Context, conditions []Condition, writes []Write) (uint64, error) {
	tx := transactionJSON{make([]conditionJSON, len(conditions)), make([]writeJSON, len(writes))}
	for i, condition := range conditions {
		tx.Conditions[i] = conditionJSON(condition)
	}
	for i, w := range writes {
		tx.Writes[i] = writeJSON(w)
	}
	k := call{step: "commit", method: http.MethodPost, path: []string{"transactions"}}
	if len(writes) > 0 {
		k.step = "commit to table " + writes[0].Table
	}
	var err error
	if k.body, err = json.Marshal(tx); err != nil {
		return 0, c.fail(k, errRejected, err)
	}
	body, err := c.write(ctx, k)
	if err != nil {
		return 0, err
	}
	var answer committedJSON
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, c.fail(k, ErrUnknownOutcome, err)
	}
	return answer.Version, nil
}

// PutObject stores an object. Putting the same data again is safe.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.write(ctx, call{
		step: "put object " + name, method: http.MethodPut, path: []string{"objects", name}, body: data,
	})
	return err
}

// GetObject reads an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.read(ctx, call{step: "get object " + name, path: []string{"objects", name}})
}

// Hosts reads the host list.
func (c *Client) Hosts(ctx context.Context) ([]ListedHost, error) {
	var answer hostsJSON
	if err := c.readJSON(ctx, call{step: "read host list", path: []string{"hosts"}}, &answer); err != nil {
		return nil, err
	}
	hosts := make([]ListedHost, len(answer.Hosts))
	for i, h := range answer.Hosts {
		hosts[i] = ListedHost(h)
	}
	return hosts, nil
}

func (c *Client) readJSON(ctx context.Context, k call, into any) error {
	body, err := c.read(ctx, k)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return c.fail(k, ErrUnavailable, errors.WithMessage(err, "response body"))
	}
	return nil
}
