package coordination

// Record formats, each of which includes the earlier ones. A controller publishes the latest
// format that it can read in its member record.
const (
	compactPageFormat   = 1 // pages in compact form
	failoverFormat      = 2 // failover of machines by group
	completionLogFormat = 3 // the completion log
	latestFormat        = completionLogFormat
)

// allPeersRead reports whether all peers are known to read a format. A peer is known to read it if
// the last member record of the peer that this process has seen names this format or a later one.
func (c *Core) allPeersRead(format int) bool {
	for _, p := range c.cfg.Peers {
		if c.membership.formats[p.Node] < format {
			return false
		}
	}
	return true
}
