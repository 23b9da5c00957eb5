package protocol

// StoreReport is the part of a heartbeat that describes the machine's data set store.
type StoreReport struct {
	Digest string `json:"digest"` // of the list of copies
	// Listed reports whether Copies is the list of copies, cut off at the agent's limit.
	// Most heartbeats carry only the digest.
	Listed bool        `json:"listed,omitempty"`
	Copies []string    `json:"copies,omitempty"` // copy ids, as in Failed
	Pulls  []StorePull `json:"pulls,omitempty"`
	Failed []string    `json:"failed,omitempty"` // copies that could not be fetched
}

// StorePull is a fetch under way.
type StorePull struct {
	Copy  string  `json:"copy"`
	Done  int64   `json:"done"` // bytes, like Total
	Total int64   `json:"total"`
	Rate  float64 `json:"rate"` // bytes per second
}

// StoreOrders is the complete set of a controller's orders to a machine's data set
// store: the machine abandons a fetch that is neither among them nor needed by a task.
type StoreOrders struct {
	List  bool         `json:"list,omitempty"` // the next heartbeat is to list the copies
	Fetch []StoreFetch `json:"fetch,omitempty"`
}

// StoreFetch orders a copy to be fetched, from Peer or from Server.
type StoreFetch struct {
	DataSet
	Urgent bool   `json:"urgent,omitempty"`
	Peer   string `json:"peer,omitempty"`   // a machine that holds it
	Server string `json:"server,omitempty"` // one of the sources
}
