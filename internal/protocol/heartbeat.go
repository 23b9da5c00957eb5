package protocol

// Paths of the interface between controllers and workers.
const (
	// PathHeartbeat is the path at which a controller receives heartbeats.
	PathHeartbeat = "/checkin"
	// PathCommands is the path at which a worker receives commands between heartbeats.
	PathCommands = "/orders"
	// PathStatus is the path at which a worker reports its state.
	PathStatus = "/status"
)

// Heartbeat is the report that a worker periodically sends to its controller.
type Heartbeat struct {
	Worker      string `json:"stoker"`
	Address     string `json:"address"` // host and port at which it receives commands
	MachineType string `json:"rig"`
	Zone        string `json:"depot"`
	Spot        bool   `json:"casual"`
	// AgentEpoch grows with each start of the agent and whenever the worker's lease ends, and
	// Sequence with each heartbeat of an epoch: together they order a worker's heartbeats.
	AgentEpoch uint64 `json:"shift"`
	Sequence   uint64 `json:"tally"`
	// FencingToken is the token of the last controller whose response or commands the
	// worker accepted.
	FencingToken uint64 `json:"baton"`
	// PreemptionNoticeS is the time until the cloud takes the machine back; nil if it gave no notice.
	PreemptionNoticeS *float64     `json:"recallS"`
	Tasks             []TaskStatus `json:"loads"`
	// DataStore is an extension: the state of the machine's data set store.
	DataStore *StoreReport `json:"store,omitempty"`
	// Unshipped is an extension: the number of attempts that the heartbeat does not list as
	// live and whose output the archive has not acknowledged. It is nil if the worker does not
	// say so. Agents of earlier versions leave it out when it is 0, and count an attempt some
	// time after the heartbeat that lists its end.
	Unshipped *int `json:"unkept,omitempty"`
	// UnshippedForS is an extension: the time since the last of these attempts has ended, in
	// seconds; 0 if that is not known.
	UnshippedForS float64 `json:"unkeptS,omitempty"`
}

// TaskStatus is an attempt of a task as a worker reports it.
type TaskStatus struct {
	Task         string    `json:"load"` // see job.TaskName
	Attempt      int       `json:"try"`
	Status       TaskState `json:"status"`          // TaskPulling and so on
	Cause        string    `json:"cause,omitempty"` // CauseDone and so on; only if it has ended
	Checkpointed bool      `json:"saved,omitempty"`
}

// TaskState is the state of an attempt in heartbeats.
type TaskState string

// States of attempts.
const (
	TaskPulling       TaskState = "pulling"
	TaskWaiting       TaskState = "waiting"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "saving"
	TaskEnded         TaskState = "ended"
)

// Causes of an attempt's end. They are plain strings, as in the records of the archive.
const (
	CauseDone           = "done"
	CauseStopped        = "stopped"
	CauseGangMemberLost = "peers"
	CauseGangTimeout    = "alone"
	CauseError          = "error"
	CauseNoRoom         = "no_room"
	CauseBusy           = "busy"
	CauseUnknown        = "unknown"
)

// ParseHeartbeat reads and checks a worker's heartbeat. The error is a *FieldError,
// ErrNestedTooDeeply or an error of the JSON decoder.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := Decode(body, &heartbeat); err != nil {
		return nil, err
	}
	switch {
	case !validKeySegment(heartbeat.Worker):
		return nil, badField("stoker", "missing or not usable as a key")
	case heartbeat.MachineType == "":
		return nil, badField("rig", "missing")
	case heartbeat.Zone == "":
		return nil, badField("depot", "missing")
	case heartbeat.AgentEpoch == 0:
		return nil, badField("shift", "missing")
	}
	return &heartbeat, nil
}

// HeartbeatResponse is a controller's response to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
	// DataStore is an extension: the copies that the machine's data set store is to fetch.
	DataStore *StoreOrders `json:"store,omitempty"`
}

// DirectCommands are commands that a controller sends to a worker between heartbeats.
// A worker refuses commands with an old fencing token or for another epoch of its agent.
type DirectCommands struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// Command is one command to a worker about an attempt.
type Command struct {
	Verb    string `json:"verb"` // VerbLaunch, VerbKill or VerbForget
	Task    string `json:"load"`
	Attempt int    `json:"try"`
	// GracePeriodS is the time for a checkpoint before a kill; nil: none given.
	GracePeriodS *float64 `json:"windDownS,omitempty"`
	// Grant is an extension of launches: see archive.Grant.
	Grant string `json:"seal,omitempty"`
}

// Verbs of commands. They are plain strings because agents also decode commands with
// encoding/json, which would put the name of a type of their own into its errors.
const (
	VerbLaunch = "launch"
	VerbKill   = "kill"
	VerbForget = "forget" // for an ended attempt whose release is committed
)

// Redirect names the controller that a worker should send its heartbeats to.
type Redirect struct {
	Controller string `json:"dispatcher,omitempty"`
}
