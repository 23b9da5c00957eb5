package job

// Extra is the part of a job that only real machines need: what to run. It is
// an extension of the protocol, and a record of its own. A job without it has no such
// record. Its JSON names are those of submissions, too.
type Extra struct {
	// Command is the program and its arguments; a relative program is looked
	// for in the image first. Empty: the image's own command.
	Command []string `json:"command,omitempty"`
	// Env holds variables of the program's environment.
	Env map[string]string `json:"env,omitempty"`
	// Customer is the one of the team's customers that may read the job's output as the
	// team does; "": none.
	Customer string `json:"customer,omitempty"`
	// Keep are patterns of files to keep when a task ends, relative to its working
	// directory.
	Keep []string `json:"keep,omitempty"`
	// Inputs are the data sets that must be there before the program starts.
	Inputs []Input `json:"inputs,omitempty"`
}

// Input is a data set that a task reads.
type Input struct {
	// Set is the data set's name.
	Set string `json:"set"`
	// Version is a version of it, or "latest", which is resolved once, when
	// the job is accepted.
	Version string `json:"version"`
	// Path is where it appears, relative to the task's working directory.
	Path string `json:"place"`
}

// Empty tells whether there is nothing in it. A nil Extra is empty.
func (x *Extra) Empty() bool {
	return x == nil || len(x.Command) == 0 && len(x.Env) == 0 && len(x.Inputs) == 0 && x.Customer == "" && len(x.Keep) == 0
}
