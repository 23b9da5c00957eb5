package protocol

// StoreReport is what a heartbeat says of the machine's store of data sets.
type StoreReport struct {
	Digest string `json:"digest"` // of the list of copies
	// Listed tells that Copies is the list, cut off at what the agent lists at the most;
	// most heartbeats have the digest alone.
	Listed bool        `json:"listed,omitempty"`
	Copies []string    `json:"copies,omitempty"` // by their copy ids, as Failed
	Pulls  []StorePull `json:"pulls,omitempty"`
	Failed []string    `json:"failed,omitempty"` // copies that could not be fetched
}

// StorePull is a fetch under way.
type StorePull struct {
	Copy  string  `json:"copy"`
	Done  int64   `json:"done"` // bytes, as Total
	Total int64   `json:"total"`
	Rate  float64 `json:"rate"` // bytes per second
}

// StoreOrders are a controller's orders to a machine's store, complete: what is
// not among them and not needed by a task is given up.
type StoreOrders struct {
	List  bool         `json:"list,omitempty"` // the next heartbeat is to list the copies
	Fetch []StoreFetch `json:"fetch,omitempty"`
}

// StoreFetch is a copy that is to be fetched, from Peer or from Server.
type StoreFetch struct {
	DataSet
	Urgent bool   `json:"urgent,omitempty"`
	Peer   string `json:"peer,omitempty"`   // a machine that holds it
	Server string `json:"server,omitempty"` // one of the sources
}
