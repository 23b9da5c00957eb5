package fencing

// The scenarios that are explored, and their initial worlds.

// taskRunning returns a world in which controller 0 owns machine 0 and the task runs there.
func taskRunning() world {
	var s world
	s.commit(claimBy(0, 1, 0))
	s.commit(taskBound(1, 0, 1))
	for c := range s.controllers {
		self := &s.controllers[c]
		self.incarnation, self.known = 1, [keys]uint8{0: 1, taskKey: 2}
		self.setTaskMirror(2)
	}
	s.controllers[0].views[0] = trustedView(1)
	for m := range s.workers {
		s.workers[m].epoch = 1
	}
	s.workers[0].renewLease(1, 1)
	s.workers[0].attempts[1] = running
	return s
}

// launchAnswered returns taskRunning's world after the attempt was launched directly and the launch was answered.
func launchAnswered() world {
	s := taskRunning()
	s.controllers[0].views[0].launches[1] = launchMark{token: 1, epoch: 1}
	s.workers[0].executed[1] = launchMark{token: 1, epoch: 1}
	return s
}

// underRaisedToken returns a function that makes a world in which controller 0 has raised its token to the revision
// that its mirror has reached, and has sent its direct launch of the first attempt under that token.
func underRaisedToken(start func() world) func() world {
	return func() world {
		s := start()
		self := &s.controllers[0]
		self.views[0].commandToken = self.appliedRevision
		self.views[0].launches[1].token = self.appliedRevision
		self.launches[0].token = self.appliedRevision
		return s
	}
}

// launchAboveTokenShown returns a world in which controller 0 has raised its token twice: the worker has seen the
// first one, and the direct launch of the attempt that runs was sent under the second one and abandoned.
func launchAboveTokenShown() world {
	s := taskRunning()
	s.commit(change{key: keys + 1}) // of a record that the model does not hold
	for c := range s.controllers {
		s.controllers[c].appliedRevision, s.controllers[c].watchOpenedAt = 3, 3
	}
	s.workers[0].token = 2
	view := &s.controllers[0].views[0]
	view.commandToken, view.unanswered, view.launchInDoubt = 3, 1<<1, true
	view.launches[1] = launchMark{token: 3, epoch: 1}
	s.controllers[0].launches[0] = directLaunch{pending: true, abandoned: true, claim: 1, token: 3, epoch: 1, attempt: 1}
	return s
}

// setTaskMirror sets a controller's mirror to a revision of the task.
func (c *controller) setTaskMirror(revision uint8) {
	c.appliedRevision, c.watchOpenedAt, c.known[taskKey], c.taskBoundAt = revision, revision, revision, revision
}

// setMirror sets a controller's mirror to a revision of another key.
func (c *controller) setMirror(key, revision uint8) {
	c.appliedRevision, c.watchOpenedAt, c.known[key] = revision, revision, revision
}

// trustedView returns the view of a machine in its first epoch whose heartbeats are trusted.
// sequence is the number of the newest one.
func trustedView(sequence uint8) workerView {
	return workerView{tokenSeen: true, mirrorComplete: true, tokenSeenAtWatch: true, epoch: 1, sequence: sequence, answeredSequence: sequence, answeredEpoch: 1}
}

// renewLease has the effect of an answer with that token to the heartbeat with that sequence number.
func (w *worker) renewLease(token, sequence uint8) {
	w.token, w.sequence, w.renewedSequence = token, sequence, sequence
}

// releaseCommitted returns taskRunning's world after the task has ended on machine 0 and its
// release is committed. Controller 1 does not know of the release, and the worker has not been told.
func releaseCommitted() world {
	s := taskRunning()
	s.workers[0].attempts[1] = ended
	s.commit(taskReleased(1))
	s.controllers[0].setTaskMirror(3)
	return s
}

// releaseCommittedMirrorFarBehind returns releaseCommitted's world, except that controller 1 does
// not even know that the task was bound.
func releaseCommittedMirrorFarBehind() world {
	s := releaseCommitted()
	self := &s.controllers[1]
	self.appliedRevision, self.watchOpenedAt, self.known[taskKey], self.taskBoundAt = 1, 1, 0, 0
	return s
}

// releaseUnderWay returns taskRunning's world after the task has ended, while controller 0 is
// writing its release.
func releaseUnderWay() world {
	s := taskRunning()
	s.workers[0].attempts[1] = ended
	s.controllers[0].setReleasePending(1)
	return s
}

// setReleasePending makes a controller write the release of the first attempt, which it has seen
// end under that token.
func (c *controller) setReleasePending(token uint8) {
	c.taskWrite = txn{kind: releaseTxn, attempt: 1, ifTask: 2, ifClaim: unconditional}
	c.proposal = proposal{proof: Ended, machine: 0, epoch: 1, attempt: 1, token: token}
}

// launchAbandoned returns a function that makes taskRunning's world after controller 0 has sent a
// direct launch and given up on it. state is running if the answer to a heartbeat has launched the
// attempt, absent if nothing has.
func launchAbandoned(state attemptState) func() world {
	return func() world {
		s := taskRunning()
		s.workers[0].attempts[1] = state
		s.controllers[0].launches[0] = directLaunch{pending: true, abandoned: true, claim: 1, token: 1, epoch: 1, attempt: 1}
		s.controllers[0].views[0].unanswered, s.controllers[0].views[0].launchInDoubt = 1<<1, true
		s.controllers[0].views[0].launches[1] = launchMark{token: 1, epoch: 1}
		return s
	}
}

// launchPending returns launchAbandoned's world with a running attempt, while the launch may still
// be answered.
func launchPending() world {
	s := launchAbandoned(running)()
	s.controllers[0].launches[0].abandoned, s.controllers[0].views[0].launchInDoubt = false, false
	return s
}

// launchNotArrived returns launchPending's world, except that nothing has launched the attempt yet.
func launchNotArrived() world {
	s := launchPending()
	s.workers[0].attempts[1] = absent
	return s
}

// claimedOutsideGroup returns a world in which controller 0 has restarted and claimed machine 0
// alone, out of the group of its earlier incarnation. Controller 1 does not know of the claim yet.
func claimedOutsideGroup() world {
	s := taskRunning()
	s.commit(claimBy(0, 2, 0))
	s.controllers[0].incarnation = 2
	s.controllers[0].setMirror(0, 3)
	s.controllers[0].views[0] = trustedView(2)
	s.workers[0].renewLease(3, 2)
	return s
}

// groupFailedOver returns a world in which controller 0's group has failed over to controller 1,
// the task has ended, and controller 1 is writing its release. Controller 0 knows of none of this
// and is about to renew its token, as the worker has shown it a higher one.
func groupFailedOver() world {
	s := taskRunning()
	s.commit(failoverTo(1, 1, groupKey))
	s.failovers = 1
	s.controllers[1].setMirror(groupKey, 3)
	s.controllers[1].views[0] = trustedView(2)
	s.controllers[1].setReleasePending(3)
	s.controllers[0].claim = txn{kind: claimTxn, ifClaim: 1, ifLinks: [maxLinks]linkRevision{{key: groupKey}}, renewal: true}
	w := &s.workers[0]
	w.renewLease(3, 2)
	w.attempts[1] = ended
	w.sequence = 3
	w.exchange.heartbeat = heartbeat{pending: true, receiver: 1, epoch: 1, sequence: 3, token: 3, attempts: w.attempts}
	return s
}

// scenarios are the explorations: of one machine to a great depth, of two machines to a smaller
// one, and from initial worlds in which only few steps remain.
var scenarios = []struct {
	name   string
	start  func() world
	bounds bounds
}{
	{"one machine", taskRunning, bounds{machines: 1, revisions: 6, attempts: 2, epochs: 2, sequences: 4, crashes: 1, delays: 1}},
	{"one epoch", taskRunning, bounds{machines: 1, revisions: 7, attempts: 2, epochs: 1, sequences: 6}},
	{"two machines", taskRunning, bounds{machines: 2, revisions: 6, attempts: 2, epochs: 2, sequences: 3, crashes: 1, deletions: 1, delays: 1}},
	{"committed release", releaseCommitted, bounds{machines: 1, revisions: 5, attempts: 1, epochs: 1, sequences: 5}},
	{"committed release, mirror far behind", releaseCommittedMirrorFarBehind, bounds{machines: 1, revisions: 5, attempts: 1, epochs: 1, sequences: 5}},
	{"release under way", releaseUnderWay, bounds{machines: 1, revisions: 4, attempts: 1, epochs: 1, sequences: 6}},
	{"abandoned launch, running", launchAbandoned(running), bounds{machines: 1, revisions: 4, attempts: 1, epochs: 1, sequences: 4, crashes: 1}},
	{"abandoned launch, not arrived", launchAbandoned(absent), bounds{machines: 1, revisions: 4, attempts: 1, epochs: 1, sequences: 4, crashes: 1}},
	{"abandoned launch under a raised token", underRaisedToken(launchAbandoned(running)), bounds{machines: 1, revisions: 4, attempts: 1, epochs: 1, sequences: 5, crashes: 1}},
	{"abandoned launch above the token shown", launchAboveTokenShown, bounds{machines: 1, revisions: 5, attempts: 1, epochs: 1, sequences: 5, crashes: 1}},
	{"cancellation", taskRunning, bounds{machines: 1, revisions: 5, attempts: 1, epochs: 2, sequences: 4, crashes: 1, delays: 1, cancellation: true}},
	{"cancellation, pending launch", launchNotArrived, bounds{machines: 1, revisions: 5, attempts: 1, epochs: 2, sequences: 4, cancellation: true}},
	{"cancellation, abandoned launch", launchAbandoned(absent), bounds{machines: 1, revisions: 5, attempts: 1, epochs: 2, sequences: 4, crashes: 1, cancellation: true}},
	{"failover", taskRunning, bounds{machines: 1, revisions: 6, attempts: 2, epochs: 2, sequences: 4, delays: 1, failovers: 1}},
	{"failover beside a claim", claimedOutsideGroup, bounds{machines: 1, revisions: 5, attempts: 1, epochs: 1, sequences: 5, failovers: 1}},
	{"claim beside a failover", groupFailedOver, bounds{machines: 1, revisions: 5, attempts: 1, epochs: 1, sequences: 5, failovers: 1, reliable: true}},
	{"failover and back", taskRunning, bounds{machines: 1, revisions: 7, attempts: 1, epochs: 2, sequences: 4, failovers: 2}},
	{"failover of two machines", taskRunning, bounds{machines: 2, revisions: 5, attempts: 2, epochs: 2, sequences: 3, failovers: 1}},
	{"failover after a committed release, mirror far behind", releaseCommittedMirrorFarBehind, bounds{machines: 1, revisions: 6, attempts: 1, epochs: 1, sequences: 5, failovers: 1}},
	{"failover during a launch", launchPending, bounds{machines: 1, revisions: 5, attempts: 1, epochs: 1, sequences: 4, failovers: 1}},
	{"answered launch", launchAnswered, bounds{machines: 1, revisions: 5, attempts: 2, epochs: 1, sequences: 6}},
	{"answered launch, crash", launchAnswered, bounds{machines: 1, revisions: 5, attempts: 1, epochs: 2, sequences: 5, crashes: 1, delays: 1}},
	{"answered launch, failover", launchAnswered, bounds{machines: 1, revisions: 6, attempts: 1, epochs: 1, sequences: 5, failovers: 1}},
	{"answered launch, cancellation", launchAnswered, bounds{machines: 1, revisions: 5, attempts: 1, epochs: 2, sequences: 5, cancellation: true}},
	{"pending launch", launchPending, bounds{machines: 1, revisions: 6, attempts: 2, epochs: 1, sequences: 5}},
}
