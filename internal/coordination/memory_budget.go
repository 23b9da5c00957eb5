package coordination

// What a controller holds in memory follows the number of jobs, what is placed, and the machines: tasks
// that wait take none (page_table.go), those in dispatch are bounded (dispatch.go), and so are those that
// a machine gets (maxTasksPerMachine). The number of jobs is not bounded. Before it takes all memory, new
// jobs are refused, so that those accepted before still run.

// Estimates of the memory that the core takes, in bytes.
const (
	heldJobBytes   = 1200 // a job, open or over, with its place in the indexes
	heldTaskBytes  = 64   // a task of a page that is in memory
	boundTaskBytes = 512  // a bound task, in the indexes of its machine
)

// maxMemoryShare is the part of the memory limit from which new jobs are refused.
const maxMemoryShare = 0.8

// updateMemoryEstimate estimates how much memory the records and their indexes take.
func (c *Core) updateMemoryEstimate() {
	tasks := 0
	for _, r := range c.jobs.openByAge {
		for _, p := range r.pages {
			tasks += len(p.tasks)
		}
	}
	bound := 0
	for _, m := range c.machines.byID {
		bound += len(m.bound)
	}
	c.jobs.estimatedBytes = heldJobBytes*len(c.jobs.byID) + heldTaskBytes*tasks + boundTaskBytes*bound
}

// memoryExhausted reports whether there is no memory left for another job.
func (c *Core) memoryExhausted() bool {
	dispatch := dispatchedTaskBytes * c.maxTasksInDispatch()
	return float64(c.jobs.estimatedBytes+dispatch) > maxMemoryShare*c.cfg.Facts.Limits.RAMMB*(1<<20)
}
