package coordination

// Formats of records, each of which includes those before it. A controller publishes the
// latest that it reads with its member record.
const (
	compactPageFormat   = 1 // pages in the compact form
	failoverFormat      = 2 // failover of machines by the group
	completionLogFormat = 3 // the completion log
	latestFormat        = completionLogFormat
)

// allPeersRead reports whether all peers are known to read a format: each has published so
// since this process started.
func (c *Core) allPeersRead(format int) bool {
	for _, p := range c.cfg.Peers {
		if c.membership.formats[p.Node] < format {
			return false
		}
	}
	return true
}
