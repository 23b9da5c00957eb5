package coordination

import (
	"net/http"
	"strings"

	"silvergate/internal/protocol"
)

// httpRequest is an HTTP request to this controller.
type httpRequest struct {
	id     uint64 // identifies the request in its response
	method string
	path   string
	body   []byte
}

// fixedRoute is the handling of requests to a fixed path.
type fixedRoute struct {
	method string // requests with other methods are refused
	handle func(*Core, httpRequest)
}

// fixedRoutes holds the routes of fixed paths.
var fixedRoutes = map[string]fixedRoute{
	protocol.PathHeartbeat: {http.MethodPost, func(c *Core, r httpRequest) { c.handleHeartbeat(r.id, r.body) }},
	protocol.PathHealth:    {http.MethodGet, func(c *Core, r httpRequest) { c.healthCheck(r.id) }},
	PathStats:              {http.MethodGet, func(c *Core, r httpRequest) { c.respond(r.id, http.StatusOK, c.stats(), 0) }},
	protocol.PathJobs:      {http.MethodPost, func(c *Core, r httpRequest) { c.submit(r.id, r.body) }},
}

// route passes a request to the handler of its path.
func (c *Core) route(r httpRequest) {
	if route, ok := fixedRoutes[r.path]; ok {
		c.routeFixed(r, route)
		return
	}
	if rest, ok := strings.CutPrefix(r.path, protocol.PathJobs+"/"); ok {
		c.routeJob(r, rest)
		return
	}
	c.routeOperator(r)
}

func (c *Core) routeFixed(r httpRequest, route fixedRoute) {
	if r.method != route.method {
		c.refuse(r.id, http.StatusMethodNotAllowed, "use "+route.method)
		return
	}
	route.handle(c, r)
}

// routeJob routes a request about one job. rest is the part of the path after the prefix: the
// job's id for its status, or the id, a slash and a verb for other requests.
func (c *Core) routeJob(r httpRequest, rest string) {
	jobID, verb, hasVerb := strings.Cut(rest, "/")
	if hasVerb && r.method == http.MethodGet && c.queries.routeJobQuery(r.id, jobID, verb) {
		return
	}
	wantedMethod := http.MethodGet
	if hasVerb {
		wantedMethod = http.MethodPost
	}
	switch {
	case hasVerb && verb != protocol.PathCancel:
		c.refuse(r.id, http.StatusNotFound, "no such path")
	case r.method != wantedMethod:
		c.refuse(r.id, http.StatusMethodNotAllowed, "method not allowed")
	case !protocol.ValidJobID(jobID):
		c.refuse(r.id, http.StatusNotFound, "no such job")
	case hasVerb:
		c.cancel(r.id, jobID, 0)
	default:
		c.queryJob(r.id, jobID)
	}
}

// routeOperator routes requests of operators for lists, and requests about data sets.
func (c *Core) routeOperator(r httpRequest) {
	switch {
	case r.method == http.MethodGet && c.queries.routeList(r.id, r.path):
	case c.staging.route(r.id, r.method, r.path, r.body):
	default:
		c.refuse(r.id, http.StatusNotFound, "no such path")
	}
}
