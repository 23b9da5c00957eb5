package fencing

import "time"

// The steps that are possible in a world: what the state service, the controllers, the
// workers and the network between them may do next. s is the current world, next the world
// after the step.

// stepFunc applies a change to a copy of the current world and emits the result.
type stepFunc func(change func())

func (md *model) steps(s *world, emit func(world)) {
	var next world
	step := func(change func()) {
		next = *s
		change()
		emit(next)
	}
	for c := uint8(0); c < controllers; c++ {
		md.controllerSteps(s, &next, c, step)
	}
	for m := uint8(0); m < md.bounds.machines; m++ {
		if !s.workers[m].deleted {
			md.workerSteps(s, &next, m, step)
		}
	}
	if md.bounds.cancellation {
		md.cancellationSteps(s, &next, step)
	}
}

// cancellationSteps are the stages of a cancellation, and the ways in which controllers learn of it. The
// model has no clock except for one rule: before cancel_s passes, every worker whose lease has not been
// renewed since the horizon passed begins a new epoch, in which none of its earlier attempts run.
func (md *model) cancellationSteps(s, next *world, step stepFunc) {
	switch {
	case !s.cancelled && s.revision < md.bounds.revisions:
		step(func() {
			next.cancelled = true
			next.commit(change{})
		})
	case s.cancelled && !s.confirmed:
		step(func() { next.confirmed = true })
	case s.confirmed && !s.horizonPassed:
		step(func() {
			next.horizonPassed = true
			for m := range next.workers {
				next.workers[m].renewedAfterHorizon = false
			}
		})
	case s.horizonPassed && !s.deadlinePassed:
		for m := uint8(0); m < md.bounds.machines; m++ {
			if !s.workers[m].deleted && !s.workers[m].renewedAfterHorizon {
				return
			}
		}
		step(func() { next.deadlinePassed = true })
	}
	for c := range s.controllers {
		if s.cancelled && !s.controllers[c].knowsCancelled {
			step(func() { next.controllers[c].knowsCancelled = true }) // a peer reports the cancellation
		}
	}
}

func (md *model) controllerSteps(s, next *world, c uint8, step stepFunc) {
	md.watchSteps(s, next, c, step)
	md.txnSteps(s, next, c, step, func(self *controller) *txn { return &self.claim })
	md.txnSteps(s, next, c, step, func(self *controller) *txn { return &self.taskWrite })
	self := &s.controllers[c]
	if self.lateTxn.kind != noTxn && s.revision < md.bounds.revisions {
		step(func() {
			md.commitTxn(next, c, &next.controllers[c].lateTxn)
			next.controllers[c].lateTxn = txn{}
		})
	}
	if self.taskWrite.kind == noTxn && self.proposal.proof != 0 {
		step(func() { md.startRelease(next, c) })
	}
	for m := uint8(0); m < md.bounds.machines; m++ {
		md.machineSteps(s, next, c, m, step)
	}
	for slot, launch := range self.launches {
		if launch.pending {
			md.launchSteps(next, c, slot, launch, step)
		}
	}
	if s.crashes < md.bounds.crashes {
		md.crashSteps(s, next, c, step)
	}
}

// watchSteps answer a controller's watch with any prefix of the history that includes every revision
// committed before the watch was opened.
func (md *model) watchSteps(s, next *world, c uint8, step stepFunc) {
	self := &s.controllers[c]
	for last := max(self.appliedRevision, self.watchOpenedAt); last <= s.revision; last++ {
		if last == self.appliedRevision && !self.learnsFromEmptyWatch() {
			continue // nothing would change
		}
		step(func() {
			self := &next.controllers[c]
			for revision := self.appliedRevision + 1; revision <= last; revision++ {
				if next.history[revision].key == 0 {
					self.appliedRevision, self.knowsCancelled = revision, true
					continue
				}
				md.applyRevision(next, c, next.history[revision].key-1, revision, true)
			}
			for m := range self.views {
				view := &self.views[m]
				view.mirrorComplete = view.mirrorComplete || view.tokenSeenAtWatch && view.tokenSeen
				view.tokenSeenAtWatch = view.tokenSeen
			}
			self.watchOpenedAt = next.revision
		})
	}
}

// learnsFromEmptyWatch reports whether a watch's answer without changes would still tell a
// controller that its mirror is complete.
func (c *controller) learnsFromEmptyWatch() bool {
	for m := range c.views {
		view := &c.views[m]
		if !view.mirrorComplete && view.tokenSeenAtWatch || view.tokenSeenAtWatch != view.tokenSeen {
			return true
		}
	}
	return false
}

// startRelease starts a transaction for a controller's proposal, or drops the proposal if it may
// no longer be written.
func (md *model) startRelease(next *world, c uint8) {
	self, proposed := &next.controllers[c], next.controllers[c].proposal
	attempt, bound := md.boundAttempt(next, c, proposed.machine)
	evidence := Evidence{proposed.proof, uint64(proposed.token)}
	if md.has(evidenceWithoutToken) {
		evidence.Token = uint64(md.tokenOf(next, c, proposed.machine))
	}
	ok, conditionalOnClaim := md.workerState(next, c, proposed.machine).MayRelease(evidence)
	if !bound || attempt.Epoch != uint64(proposed.epoch) || attempt.Number != int(proposed.attempt) || !ok {
		self.proposal = proposal{}
		return
	}
	self.taskWrite = txn{kind: releaseTxn, machine: proposed.machine, attempt: proposed.attempt, ifTask: self.known[taskKey], ifClaim: unconditional}
	if conditionalOnClaim && !md.has(releaseWithoutClaim) {
		self.taskWrite.ifClaim, self.taskWrite.ifLinks = self.known[proposed.machine], md.ownershipOf(next, c, proposed.machine).links
	}
}

// machineSteps are what a controller may do about a machine without a message from it.
func (md *model) machineSteps(s, next *world, c, m uint8, step stepFunc) {
	self, view, w := &s.controllers[c], &s.controllers[c].views[m], &s.workers[m]
	state, task := md.workerState(s, c, m), s.known(c, taskKey)
	_, bound := md.boundAttempt(s, c, m)
	if !task.bound && task.attempt < md.bounds.attempts && self.taskWrite.kind == noTxn && state.Held && view.tokenSeen && (self.claim.kind == noTxn || self.claim.machine != m) {
		step(func() {
			next.controllers[c].taskWrite = txn{kind: placementTxn, machine: m, attempt: task.attempt + 1, epoch: view.epoch,
				ifTask: self.known[taskKey], ifClaim: self.known[m], ifLinks: md.ownershipOf(next, c, m).links}
		})
	}
	if bound && state.Held && !self.unwanted && !md.bounds.reliable {
		step(func() { next.controllers[c].unwanted = true })
	}
	mayPropose := bound && self.proposal.proof == 0 && self.taskWrite.kind == noTxn
	propose := func(proof Proof) {
		step(func() {
			next.controllers[c].proposal = proposal{proof, m, task.epoch, task.attempt, md.tokenOf(next, c, m)}
		})
	}
	// The controller's clock may show the lease as expired if the worker is in a later epoch, or if
	// another controller has renewed the lease since this one last answered.
	leaseEnded := w.deleted || w.epoch > view.answeredEpoch || w.renewedSequence > view.answeredSequence
	if !md.bounds.reliable && mayPropose && task.epoch <= view.epoch && leaseEnded &&
		state.LeaseExpired(time.Hour, time.Duration(view.answeredSequence), time.Minute) {
		propose(LeaseExpired)
	}
	if owner := md.ownershipOf(s, c, m); owner.nextGroup > 0 && owner.owner != c+1 && self.claim.kind == noTxn && s.failovers < md.bounds.failovers {
		step(func() {
			next.controllers[c].claim = txn{kind: failoverTxn, machine: m, group: owner.nextGroup}
			next.failovers++
		})
	}
	if mayPropose && w.deleted {
		propose(MachineDeleted)
	}
}

// launchSteps are the possible outcomes of a direct launch.
func (md *model) launchSteps(next *world, c uint8, slot int, launch directLaunch, step stepFunc) {
	deliver := func() (executed bool) {
		next.workers[launch.machine].sequence++
		return next.workers[launch.machine].executeLaunch(launch.attempt, launchMark{launch.token, launch.epoch})
	}
	step(func() { // executed or refused, and answered unless it was abandoned
		executed := deliver()
		self, w := &next.controllers[c], &next.workers[launch.machine]
		if view := &self.views[launch.machine]; !launch.abandoned && md.tokenOf(next, c, launch.machine) == launch.claim {
			view.unanswered &^= 1 << launch.attempt
			if executed {
				view.launchEpoch, view.launchSequence = w.epoch, w.sequence
			}
			if !executed || md.has(answeredLaunchIsSpent) {
				view.launches[launch.attempt] = launchMark{}
			}
		}
		self.launches[slot] = directLaunch{}
	})
	if launch.abandoned {
		return
	}
	step(func() { // executed, and the answer is lost
		deliver()
		md.markLaunchInDoubt(next, c, launch)
		next.controllers[c].launches[slot] = directLaunch{}
	})
	step(func() { // abandoned; it may be executed late
		md.markLaunchInDoubt(next, c, launch)
		next.controllers[c].launches[slot].abandoned = true
	})
}

// crashSteps end a controller's process and start the next incarnation. One transaction of the
// process may still be applied late.
func (md *model) crashSteps(s, next *world, c uint8, step stepFunc) {
	self := &s.controllers[c]
	for _, late := range []txn{self.lateTxn, self.taskWrite, self.claim} {
		if late.outcome != underWay {
			late = txn{}
		}
		step(func() {
			launches := next.controllers[c].launches
			for i := range launches {
				launches[i].abandoned = launches[i].pending
			}
			next.controllers[c] = controller{incarnation: self.incarnation + 1, appliedRevision: next.revision, watchOpenedAt: next.revision,
				lateTxn: late, launches: launches, knowsCancelled: next.cancelled}
			for key := range uint8(keys) {
				_, next.controllers[c].known[key] = next.current(key)
			}
			next.crashes++
		})
	}
}

// txnSteps are the possible outcomes of a transaction under way. field selects the transaction.
func (md *model) txnSteps(s, next *world, c uint8, step stepFunc, field func(*controller) *txn) {
	x := *field(&s.controllers[c])
	switch {
	case x.kind == noTxn:
	case x.outcome == underWay:
		if s.revision < md.bounds.revisions {
			step(func() { field(&next.controllers[c]).outcome = md.commitTxn(next, c, &x) })
		}
		if md.bounds.reliable {
			return
		}
		step(func() { // abandoned; it may be applied late
			if next.controllers[c].lateTxn.kind == noTxn {
				next.controllers[c].lateTxn = x
			}
			*field(&next.controllers[c]) = txn{}
		})
	default:
		if !md.bounds.reliable {
			step(func() { *field(&next.controllers[c]) = txn{} }) // its answer is lost
		}
		step(func() {
			*field(&next.controllers[c]) = txn{}
			md.completeTxn(next, c, x)
		})
	}
}

// completeTxn handles a transaction's answer at a controller.
func (md *model) completeTxn(next *world, c uint8, x txn) {
	self, key := &next.controllers[c], x.key()
	_, revision := next.current(key)
	if x.outcome == refused {
		if x.kind == claimTxn {
			md.applyRevision(next, c, key, revision, false) // the controller reads the claim
		}
		return
	}
	// The answer holds the revision that the transaction created; later revisions are not known.
	for revision = next.revision; revision > 0; revision-- {
		if ch := next.history[revision]; ch.key == key+1 && x.wrote(ch, c, self.incarnation) {
			break
		}
	}
	if x.kind == releaseTxn {
		self.proposal = proposal{}
	}
	md.applyRevision(next, c, key, revision, false)
	if x.kind == claimTxn && self.known[key] == revision {
		self.views[x.machine] = workerView{mirrorComplete: x.renewal}
	}
}

// key returns the key that a transaction writes.
func (x *txn) key() uint8 {
	switch x.kind {
	case claimTxn:
		return x.machine
	case failoverTxn:
		return x.group
	}
	return taskKey
}

// wrote reports whether a transaction wrote a given change of its key.
func (x *txn) wrote(ch change, c, incarnation uint8) bool {
	switch x.kind {
	case claimTxn, failoverTxn:
		return ch.owner == c+1 && ch.incarnation == incarnation
	case releaseTxn:
		return !ch.bound && ch.attempt == x.attempt
	}
	return ch.bound && ch.attempt == x.attempt && ch.machine == x.machine
}

// commitTxn executes a transaction at the state service, if its conditions hold.
func (md *model) commitTxn(s *world, c uint8, x *txn) outcome {
	if x.kind == failoverTxn {
		if _, revision := s.current(x.group); revision > 0 {
			return refused
		}
		s.commit(failoverTo(c, s.controllers[c].incarnation, x.group))
		return committed
	}
	_, task := s.current(taskKey)
	_, claim := s.current(x.machine)
	switch {
	case x.kind == placementTxn && s.cancelled,
		x.kind != claimTxn && task != x.ifTask && !md.has(releaseWithoutTaskRevision),
		x.ifClaim != unconditional && (claim != x.ifClaim || md.failedOver(s, x)):
		return refused
	}
	switch x.kind {
	case claimTxn:
		s.commit(claimBy(c, s.controllers[c].incarnation, x.machine))
	case releaseTxn:
		s.commit(taskReleased(x.attempt))
	case placementTxn:
		s.commit(taskBound(x.attempt, x.machine, x.epoch))
	}
	return committed
}

// failedOver reports whether a transaction's machine has failed over with its group since the
// transaction was built.
func (md *model) failedOver(s *world, x *txn) bool {
	if md.has(releaseWithoutLinks) && x.kind != claimTxn || md.has(claimWithoutLinks) && x.kind == claimTxn {
		return false
	}
	for _, link := range x.ifLinks {
		if link.key == 0 {
			continue
		}
		if _, revision := s.current(link.key); revision != link.revision {
			return true
		}
	}
	return false
}

func (md *model) workerSteps(s, next *world, m uint8, step stepFunc) {
	w := &s.workers[m]
	md.exchangeSteps(s, next, m, step)
	if w.delayed.pending {
		step(func() {
			md.receiveHeartbeat(next, w.delayed.receiver, m, w.delayed)
			next.workers[m].delayed = heartbeat{}
		})
	}
	if w.epoch < md.bounds.epochs { // its lease ends
		step(func() {
			next.workers[m].epoch++
			next.workers[m].renewedAfterHorizon = true
			next.workers[m].attempts = [attempts + 1]attemptState{}
			next.workers[m].executed = [attempts + 1]launchMark{} // copies name an earlier epoch
		})
	}
	for number := uint8(1); number <= attempts; number++ {
		if launch := w.executed[number]; w.attempts[number] == absent && launch.token > 0 && launch.token >= w.token {
			step(func() { next.workers[m].executeLaunch(number, launch) }) // a copy arrives
		}
	}
	for number := 1; number <= attempts; number++ {
		if w.attempts[number] == running {
			step(func() { next.workers[m].attempts[number] = ended })
		}
	}
	if s.deletions < md.bounds.deletions {
		step(func() {
			next.workers[m] = worker{deleted: true}
			next.deletions++
		})
	}
}

// exchangeSteps are the possible next events of a worker's heartbeat and its answer.
func (md *model) exchangeSteps(s, next *world, m uint8, step stepFunc) {
	w := &s.workers[m]
	switch x := w.exchange; {
	case !x.heartbeat.pending && w.sequence < md.bounds.sequences:
		for c := uint8(0); c < controllers; c++ {
			step(func() {
				w := &next.workers[m]
				w.sequence++
				w.exchange = exchange{heartbeat: heartbeat{true, next.horizonPassed, c, w.epoch, w.sequence, w.token, w.attempts}}
			})
		}
	case x.heartbeat.pending && !x.answered:
		step(func() { next.workers[m].exchange = md.receiveHeartbeat(next, x.heartbeat.receiver, m, x.heartbeat) })
		if !md.bounds.reliable {
			step(func() { next.workers[m].exchange = exchange{} }) // lost
		}
		if !w.delayed.pending && s.delays < md.bounds.delays {
			step(func() {
				next.workers[m].exchange, next.workers[m].delayed = exchange{}, x.heartbeat
				next.delays++
			})
		}
	case x.answered:
		if !md.bounds.reliable {
			step(func() { next.workers[m].exchange = exchange{} }) // late: dropped
		}
		step(func() {
			next.workers[m].exchange = exchange{}
			next.workers[m].applyAnswer(x)
		})
	}
}

// applyAnswer executes an answer at a worker. The worker drops an answer with a lower token or to a
// heartbeat of an earlier epoch.
func (w *worker) applyAnswer(x exchange) {
	if x.token < w.token || x.heartbeat.epoch != w.epoch {
		return
	}
	w.setToken(x.token)
	w.renewedSequence = x.heartbeat.sequence
	w.renewedAfterHorizon = w.renewedAfterHorizon || x.heartbeat.afterHorizon
	for number := 1; number <= attempts; number++ {
		if x.forget>>number&1 == 1 && w.attempts[number] == ended {
			w.attempts[number] = absent
		}
		if x.kill>>number&1 == 1 && w.attempts[number] == running {
			w.attempts[number] = ended
		}
	}
	if x.launch > 0 {
		w.startAttempt(x.launch)
	}
}

// executeLaunch executes a direct launch, or a copy of one, at a worker, unless the worker refuses it.
func (w *worker) executeLaunch(attempt uint8, launch launchMark) (executed bool) {
	if w.deleted || launch.token < w.token || launch.epoch != w.epoch {
		return false
	}
	w.setToken(launch.token)
	w.executed[attempt] = launch
	w.startAttempt(attempt)
	return true
}

// setToken records a token that the worker has seen. Copies of launches under lower tokens are refused from now on.
func (w *worker) setToken(token uint8) {
	w.token = token
	for number, launch := range w.executed {
		if launch.token < token {
			w.executed[number] = launchMark{}
		}
	}
}

// startAttempt starts an attempt at a worker.
func (w *worker) startAttempt(attempt uint8) {
	if w.attempts[attempt] != absent {
		return
	}
	w.attempts[attempt] = running
	for number, state := range w.attempts {
		if uint8(number) != attempt && state == running {
			w.attempts[attempt] = ended // refused: another attempt is running
		}
	}
}
