package coordination

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// route handles requests about data sets and stagings. It returns false if the path is of another
// kind or the site has no data sets.
func (d *stagingCoordinator) route(id uint64, method, path string, body []byte) bool {
	path, query, _ := strings.Cut(path, "?")
	if d == nil || path != protocol.PathDataSets && path != protocol.PathStagings {
		return false
	}
	c := d.core
	switch {
	case !c.state.Loaded():
		c.refuse(id, http.StatusServiceUnavailable, "starting")
	case path == protocol.PathDataSets && method == http.MethodGet:
		parameters, _ := url.ParseQuery(query)
		c.respond(id, http.StatusOK, d.list(parameters.Get("from")), 0)
	case method != http.MethodPost:
		c.refuse(id, http.StatusMethodNotAllowed, "use "+http.MethodPost)
	case path == protocol.PathDataSets:
		d.register(id, body)
	default:
		d.announceWork(id, body)
	}
	return true
}

// list returns a page of the registered versions, sorted by name, starting after the name from.
func (d *stagingCoordinator) list(from string) protocol.DataSetPage {
	names, more := namesAfter(d.sets, from, func(*protocol.DataSet) bool { return true })
	out := protocol.DataSetPage{DataSets: []protocol.DataSet{}, Truncated: more}
	for _, name := range names {
		out.DataSets = append(out.DataSets, *d.sets[name])
	}
	return out
}

// register handles the registration of a data set's version. Versions never change: registering the
// same data again returns the existing version, and other data under the same name is refused.
func (d *stagingCoordinator) register(id uint64, body []byte) {
	c := d.core
	s := &protocol.DataSet{}
	err := json.Unmarshal(body, s)
	if err == nil {
		err = s.Check()
	}
	if err != nil {
		c.refuse(id, http.StatusBadRequest, err.Error())
		return
	}
	slices.Sort(s.Sources)
	s.AtMS = c.wallTime.UnixMilli()
	name := dataSetName(s.Set, s.Version)
	if d.sets[name] != nil {
		d.respondRegistered(id, http.StatusOK, s)
		return
	}
	key := keyData + name
	notExists := []protocol.Compare{{Key: key}}
	ops := []protocol.Op{{Put: key, Value: encode(s)}}
	c.state.Txn(ratelimit.UserRequests, notExists, ops, func(outcome stateclient.TxnOutcome, _ []string, _ uint64) {
		switch outcome {
		case stateclient.Committed:
			d.respondRegistered(id, http.StatusCreated, s)
		case stateclient.Conflict, stateclient.Unknown:
			c.state.Refresh(ratelimit.UserRequests, key, func(bool) { d.respondRegistered(id, http.StatusOK, s) })
		default:
			c.refuse(id, http.StatusServiceUnavailable, "the state service can't be written now")
		}
	})
}

// respondRegistered answers a registration with the version's record if that has the wanted digest,
// and with a conflict if it has another.
func (d *stagingCoordinator) respondRegistered(id uint64, status int, wanted *protocol.DataSet) {
	c := d.core
	switch v := d.sets[dataSetName(wanted.Set, wanted.Version)]; {
	case v == nil:
		c.refuse(id, http.StatusServiceUnavailable, "the outcome is not known yet")
	case v.Digest != wanted.Digest:
		c.refuse(id, http.StatusConflict, "the version exists with other contents; versions never change")
	default:
		c.respond(id, status, v, 0)
	}
}
