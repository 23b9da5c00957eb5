package job

// Extra is the part of a job that only real machines need: what to run. It is
// an extension of the protocol. A job without it leaves no trace of it.
type Extra struct {
	// Command is the program and its arguments; a relative program is looked
	// for in the image first. Empty: the image's own command.
	Command []string `json:"command,omitempty"`
	// Env holds variables of the program's environment.
	Env map[string]string `json:"env,omitempty"`
	// Customer is whose of the team's customers' the job is, for whoever may read
	// what it wrote; "": the team's own.
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
	// Place is where it appears, relative to the task's working directory.
	Path string `json:"place"`
}

// Empty tells whether there is nothing in it.
func (x *Extra) Empty() bool {
	return x == nil || len(x.Command) == 0 && len(x.Env) == 0 && len(x.Inputs) == 0 && x.Customer == "" && len(x.Keep) == 0
}
