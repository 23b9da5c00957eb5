package replay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"silvergate/internal/coordination"
	"silvergate/internal/protocol"
	"silvergate/internal/recorder"
)

// clockFormat is the format of the time of day in texts.
const clockFormat = "15:04:05.000"

// Event is one line of a timeline: an input that concerned one of the names to explain, and
// its consequences. silvergate replay prints it as JSON, so its JSON names must not change.
type Event struct {
	Wall              time.Time `json:"wall"`
	Node              string    `json:"node"`
	AppliedRevision   uint64    `json:"ledger"`            // revision up to which the node's mirror was complete
	CommittedRevision uint64    `json:"commits,omitempty"` // revision of the node's transaction whose reply is this input; 0: none
	Text              string    `json:"text"`
}

// String returns the event as text for people: the time of day, the node, its applied
// revision and the text.
func (e Event) String() string {
	return fmt.Sprintf("%s %s at %d: %s", e.Wall.UTC().Format(clockFormat), e.Node, e.AppliedRevision, e.Text)
}

// explainer collects the events that concern the names in its options.
type explainer struct {
	options   Options
	node      string
	core      *coordination.Core
	lastKnown []string        // for each name, what the core knew of it after the last step
	txns      map[uint64]bool // ids of transactions without a reply yet
	events    []Event
	described bool // describeAt has added what is known at options.At
}

func newExplainer(o Options, node string, core *coordination.Core) *explainer {
	return &explainer{
		options:   o,
		node:      node,
		core:      core,
		lastKnown: make([]string, len(o.Names)),
		txns:      map[uint64]bool{},
	}
}

// describeAt adds to the result, once, what the core knows of each name. It does so when
// wall has reached options.At.
func (x *explainer) describeAt(wall time.Time, result *Result) {
	if x.described || x.options.At.IsZero() || wall.Before(x.options.At) {
		return
	}
	x.described = true
	for _, name := range x.options.Names {
		known := x.core.Describe(name)
		if known == "" {
			known = "nothing is known"
		}
		result.Known = append(result.Known, fmt.Sprintf("%s, records at %d: %s: %s", x.node, x.core.AppliedRevision(), name, known))
	}
}

// observe adds an event if a step concerns one of the names: if the input or its effects
// mention the name, or if the step changed what the core knows of it.
func (x *explainer) observe(in *recorder.Input, effects *coordination.Effects) {
	if len(x.options.Names) == 0 {
		return
	}
	event := Event{
		Wall:              time.Unix(0, in.Wall),
		Node:              x.node,
		AppliedRevision:   x.core.AppliedRevision(),
		CommittedRevision: x.committedRevision(in),
	}
	x.noteTransactions(effects)
	texts := x.describeStep(in, effects)
	if len(texts) == 0 {
		return
	}
	if event.CommittedRevision > 0 {
		texts = append([]string{fmt.Sprintf("its transaction made revision %d", event.CommittedRevision)}, texts...)
	}
	event.Text = strings.Join(texts, "; ")
	x.events = append(x.events, event)
}

// committedRevision returns the revision that a transaction of the node made if the input is
// the successful reply to that transaction, and 0 otherwise.
func (x *explainer) committedRevision(in *recorder.Input) uint64 {
	if in.Kind != recorder.Reply || !x.txns[in.ID] {
		return 0
	}
	delete(x.txns, in.ID)
	var result protocol.TxnResult
	if in.Status != http.StatusOK || json.Unmarshal(in.Body, &result) != nil {
		return 0
	}
	return result.Revision
}

// noteTransactions remembers the transactions among the calls: their replies contain
// revisions.
func (x *explainer) noteTransactions(effects *coordination.Effects) {
	for i := range effects.Calls {
		if call := &effects.Calls[i]; call.Path == protocol.PathTxn {
			x.txns[call.ID] = true
		}
	}
}

func (x *explainer) describeStep(in *recorder.Input, effects *coordination.Effects) []string {
	var texts []string
	for i, name := range x.options.Names {
		if text := inputText(in, name); text != "" {
			texts = append(texts, text)
		}
		texts = append(texts, effectTexts(effects, name)...)
		if known := x.core.Describe(name); known != x.lastKnown[i] {
			x.lastKnown[i] = known
			texts = append(texts, "now knows of "+name+": "+known)
		}
	}
	return texts
}

// inputText describes what an input says about a name. It returns "" if the input does not
// concern the name.
func inputText(in *recorder.Input, name string) string {
	if in.Kind != recorder.Request || !strings.Contains(string(in.Body), quoted(name)) && !strings.Contains(in.Path, name) {
		return ""
	}
	if in.Path != protocol.PathHeartbeat {
		return "is asked " + in.Method + " " + in.Path
	}
	heartbeat, err := protocol.ParseHeartbeat(in.Body)
	if err != nil {
		return ""
	}
	text := fmt.Sprintf("hears %s, session %d, tally %d, token %d", heartbeat.Worker, heartbeat.AgentEpoch, heartbeat.Sequence, heartbeat.FencingToken)
	for _, task := range heartbeat.Tasks {
		if task.Task == name {
			text += fmt.Sprintf(": attempt %d %s %s", task.Attempt, task.Status, task.Cause)
		}
	}
	return text
}

// effectTexts describes what effects say about a name.
func effectTexts(effects *coordination.Effects, name string) (texts []string) {
	for i := range effects.Responses {
		body := effects.Responses[i].Body
		var response protocol.HeartbeatResponse
		if strings.Contains(string(body), quoted(name)) && json.Unmarshal(body, &response) == nil {
			texts = append(texts, commandsText("answers with", response.FencingToken, response.Commands, name))
		}
	}
	for i := range effects.Calls {
		if text := callText(&effects.Calls[i], name); text != "" {
			texts = append(texts, text)
		}
	}
	return texts
}

// callText describes what a call says about a name. It returns "" if the call does not
// concern the name.
func callText(call *protocol.Call, name string) string {
	body := string(call.Body)
	switch {
	case call.Path == protocol.PathCommands && strings.Contains(body, quoted(name)):
		var direct protocol.DirectCommands
		if json.Unmarshal(call.Body, &direct) == nil {
			return commandsText("sends to "+call.Address, direct.FencingToken, direct.Commands, name)
		}
	case call.Path == protocol.PathRentalsDelete && strings.Contains(body, quoted(name)):
		return "asks the cloud to delete " + name
	case call.Path == protocol.PathTxn && strings.Contains(body, "/"+name+`"`):
		return "sends a transaction on it"
	}
	return ""
}

// quoted returns a name as a JSON string.
func quoted(name string) string { return `"` + name + `"` }

// commandsText describes the commands that concern a task.
func commandsText(how string, token uint64, commands []protocol.Command, task string) string {
	text := fmt.Sprintf("%s token %d", how, token)
	for _, command := range commands {
		if command.Task == task {
			text += fmt.Sprintf(", %s attempt %d", command.Verb, command.Attempt)
		}
	}
	return text
}
