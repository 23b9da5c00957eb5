package protocol

// Paths of the operators' lists. They are extensions.
const (
	// PathJobList returns a JobPage.
	PathJobList = "/v2/list/jobs"
	// PathMachineList returns a MachinePage.
	PathMachineList = "/v2/list/nodes"
)

// JobPage is a page of jobs, in the order of their names.
type JobPage struct {
	Jobs      []JobSummary `json:"jobs"`
	Truncated bool         `json:"truncated"` // there are more after the last
}

// JobSummary is a job as operators list it. Shape and Priority are wire names.
type JobSummary struct {
	ID         string  `json:"ref"`
	Status     string  `json:"status"` // as in JobState
	Class      string  `json:"jobclass"`
	Team       string  `json:"crew"`
	Shape      string  `json:"shape"`
	Priority   string  `json:"urgency"`
	Tasks      int     `json:"loads"`
	Done       int     `json:"done"`
	Running    int     `json:"running"`
	AgeS       float64 `json:"ageS"`            // since its submission
	WaitingFor string  `json:"waits,omitempty"` // what an open job's tasks wait for, as text to display
}

// MachinePage is a page of machines, in the order of their names.
type MachinePage struct {
	Machines  []MachineSummary `json:"nodes"`
	Truncated bool             `json:"truncated"` // there are more after the last
}

// MachineSummary is a machine as operators list it, with the resources that its tasks use
// and its capacity.
type MachineSummary struct {
	Machine          string  `json:"stoker"`
	MachineType      string  `json:"rig"`
	Zone             string  `json:"depot"`
	Spot             bool    `json:"casual"`
	Address          string  `json:"address"`
	Owner            string  `json:"owner"`  // the controller that claims it
	Status           string  `json:"status"` // text to display
	Tasks            int     `json:"loads"`
	CPUs             float64 `json:"cpus"`
	CPUCapacity      float64 `json:"cpusOf"`
	GPUs             float64 `json:"accelerators"`
	GPUCapacity      float64 `json:"acceleratorsOf"`
	MemoryGB         float64 `json:"ramGb"`
	MemoryCapacityGB float64 `json:"ramGbOf"`
}
