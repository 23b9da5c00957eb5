package job

// Extra is the part of a job that only real machines need: what to run. It is an extension
// of the protocol and is stored as a record of its own, which a job without it lacks.
// Submissions have the same JSON names.
type Extra struct {
	// Command is the program and its arguments; the path of a relative program is looked
	// up in the image first. Empty: the image's own command.
	Command []string `json:"command,omitempty"`
	// Env holds environment variables of the program.
	Env map[string]string `json:"env,omitempty"`
	// Customer is the one customer of the team that may read the job's output as the team
	// itself may; "": none.
	Customer string `json:"customer,omitempty"`
	// Keep holds the patterns of the files to keep when a task ends, relative to its
	// working directory.
	Keep []string `json:"keep,omitempty"`
	// Inputs are the data sets that must be on the machine before the program starts.
	Inputs []Input `json:"inputs,omitempty"`
}

// Input is a data set that a task reads.
type Input struct {
	// Set is the data set's name.
	Set string `json:"set"`
	// Version is the data set's version, or "latest", which is resolved once, when the
	// job is accepted.
	Version string `json:"version"`
	// Path is where the data set appears, relative to the task's working directory.
	Path string `json:"place"`
}

// Empty reports whether no field is set. A nil Extra is empty.
func (x *Extra) Empty() bool {
	return x == nil || len(x.Command) == 0 && len(x.Env) == 0 && len(x.Inputs) == 0 && x.Customer == "" && len(x.Keep) == 0
}
