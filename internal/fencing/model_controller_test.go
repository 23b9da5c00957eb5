package fencing

// How a controller of the model handles watch results, heartbeats and answers. Every decision
// is made by the product's own functions.

// workerState returns the state of a machine's worker that a controller passes to the product's functions.
func (md *model) workerState(s *world, c, m uint8) WorkerState {
	self, view := &s.controllers[c], &s.controllers[c].views[m]
	owner := md.ownershipOf(s, c, m)
	state := WorkerState{
		Held:            owner.owner == c+1 && (owner.incarnation == self.incarnation || view.adopted),
		Token:           uint64(owner.token),
		CommandToken:    uint64(md.commandToken(s, c, m)),
		AppliedRevision: uint64(self.appliedRevision),
		TokenSeen:       view.tokenSeen,
		MirrorComplete:  view.mirrorComplete,
		LaunchInDoubt:   view.launchInDoubt,
		Epoch:           uint64(view.epoch),
		Sequence:        uint64(view.sequence),
		LastLaunch:      Position{uint64(view.launchEpoch), uint64(view.launchSequence)},
	}
	if md.has(trustOvertaken) {
		state.LastLaunch = Position{}
	}
	if md.has(trustBeforeMirror) {
		state.AppliedRevision = 1 << 20
	}
	if md.has(launchBeforeMirror) {
		state.MirrorComplete = true
	}
	if md.has(leaseWithoutToken) {
		state.TokenSeen = true
	}
	return state
}

// commandToken returns the token of a controller's commands to a machine.
func (md *model) commandToken(s *world, c, m uint8) uint8 {
	return max(md.tokenOf(s, c, m), s.controllers[c].views[m].commandToken)
}

// raiseTokenAbove raises the token of a controller's commands to a machine above that of a launch, and reports
// whether it is above it.
func (md *model) raiseTokenAbove(s *world, c, m uint8, launch DirectLaunch) bool {
	if uint64(md.commandToken(s, c, m)) > launch.Token {
		return true
	}
	view := &s.controllers[c].views[m]
	if md.has(raiseToAnyToken) {
		launch.Token = 0
	}
	token, ok := md.workerState(s, c, m).RaisedToken(launch)
	if !ok || view.unanswered != 0 {
		return false
	}
	view.commandToken = uint8(token)
	return true
}

// boundAttempt returns the attempt that a controller's records bind to a machine, and reports
// whether they bind one.
func (md *model) boundAttempt(s *world, c, m uint8) (Attempt, bool) {
	task := s.known(c, taskKey)
	return Attempt{Number: int(task.attempt), Epoch: uint64(task.epoch), BoundAt: uint64(s.controllers[c].taskBoundAt)}, task.bound && task.machine == m
}

// applyRevision applies a key's revision to a controller's mirror. complete reports whether the
// mirror is then complete up to that revision.
func (md *model) applyRevision(s *world, c, key, revision uint8, complete bool) {
	self := &s.controllers[c]
	var before [machines]uint8
	for m := range before {
		before[m] = md.tokenOf(s, c, uint8(m))
	}
	if complete {
		self.appliedRevision = revision
	}
	if revision > self.known[key] {
		self.known[key] = revision
		if key == taskKey {
			self.taskBoundAt, self.unwanted = revision, false
			md.launchDirectly(s, c)
			return
		}
	}
	for m := range before {
		md.ownerChanged(s, c, uint8(m), before[m])
	}
}

// ownerChanged resets a controller's view of a machine if the machine's owner has changed. before
// is the machine's previous token.
func (md *model) ownerChanged(s *world, c, m, before uint8) {
	self, owner := &s.controllers[c], md.ownershipOf(s, c, m)
	if owner.token == before {
		return
	}
	view := &self.views[m]
	view.tokenSeen, view.mirrorComplete, view.adopted, view.tokenSeenAtWatch = false, false, false, false
	view.commandToken = 0
	if owner.owner == c+1 && owner.incarnation == self.incarnation && owner.token != self.known[m] {
		*view = workerView{} // the machine's group has failed over to this controller
	}
}

// launchDirectly sends a direct launch of an attempt that is newly bound to a controller's machine.
func (md *model) launchDirectly(s *world, c uint8) {
	self := &s.controllers[c]
	for m := uint8(0); m < md.bounds.machines; m++ {
		if self.knowsCancelled {
			return // a job that is over launches no tasks
		}
		attempt, bound := md.boundAttempt(s, c, m)
		slot := 0
		for slot < len(self.launches) && self.launches[slot].pending {
			slot++
		}
		if !bound || slot == len(self.launches) {
			continue
		}
		state := md.workerState(s, c, m)
		anyRecord := md.has(launchAnyRecord) && state.Held && state.TokenSeen && !state.LaunchInDoubt && attempt.Epoch == state.Epoch
		if !anyRecord && !state.MayLaunchDirectly(attempt) {
			continue
		}
		launch := launchMark{md.commandToken(s, c, m), self.views[m].epoch}
		self.launches[slot] = directLaunch{pending: true, claim: md.tokenOf(s, c, m), machine: m, token: launch.token, epoch: launch.epoch, attempt: uint8(attempt.Number)}
		if md.has(oneLaunchPerTask) {
			self.views[m].launches = [attempts + 1]launchMark{}
		}
		self.views[m].unanswered |= 1 << attempt.Number
		self.views[m].launches[attempt.Number] = launch
	}
}

// newestLaunch returns the newest direct launch of an attempt that a controller knows of.
func (md *model) newestLaunch(view *workerView, attempt int) DirectLaunch {
	if md.has(ignoreLaunches) {
		return DirectLaunch{}
	}
	launch := view.launches[attempt]
	return DirectLaunch{Token: uint64(launch.token), Epoch: uint64(launch.epoch)}
}

// receiveHeartbeat handles a heartbeat at a controller and returns the answer.
func (md *model) receiveHeartbeat(s *world, c, m uint8, hb heartbeat) (answer exchange) {
	self, view := &s.controllers[c], &s.controllers[c].views[m]
	if s.horizonPassed && !self.knowsCancelled && !md.has(ignoreHorizon) {
		return answer // the last proof is older than the horizon
	}
	head := Heartbeat{Token: uint64(hb.token), Epoch: uint64(hb.epoch), Sequence: uint64(hb.sequence)}
	attempt, bound := md.boundAttempt(s, c, m)
	md.adoptClaim(s, c, m, hb)
	md.fenceLaunches(self, view, hb)
	state := md.workerState(s, c, m)
	verdict := state.JudgeHeartbeat(head)
	switch verdict {
	case NeedsClaim:
		if self.claim.kind == noTxn {
			self.claim = txn{kind: claimTxn, machine: m, ifClaim: self.known[m], ifLinks: md.ownershipOf(s, c, m).links, renewal: state.Held && view.mirrorComplete}
		}
		return answer
	case Stale:
		return answer
	}
	view.epoch, view.sequence = hb.epoch, hb.sequence
	token := md.tokenOf(s, c, m)
	if hb.token >= token && !view.tokenSeen {
		view.tokenSeen = true
	}
	answer = exchange{heartbeat: hb, answered: true}
	// The controller measures the lease from the heartbeat's arrival. However old the heartbeat is,
	// by then the worker has begun its present epoch and sent all its heartbeats up to the present one.
	view.answeredSequence, view.answeredEpoch = s.workers[m].sequence, s.workers[m].epoch
	if self.knowsCancelled && !md.has(answerWithoutKill) {
		answer.kill = md.attemptsToKill(hb, attempt, bound)
	}
	if verdict == Trust {
		md.judgeAttempts(s, c, m, &answer)
	} else if bound {
		md.judgeUntrusted(s, c, m, hb, attempt)
	}
	answer.token = md.commandToken(s, c, m)
	return answer
}

// adoptClaim makes a controller adopt a claim of its earlier incarnation, if that is allowed.
func (md *model) adoptClaim(s *world, c, m uint8, hb heartbeat) {
	self, view := &s.controllers[c], &s.controllers[c].views[m]
	head := Heartbeat{Token: uint64(hb.token), Epoch: uint64(hb.epoch), Sequence: uint64(hb.sequence)}
	attempt, bound := md.boundAttempt(s, c, m)
	owner := md.ownershipOf(s, c, m)
	if owner.owner != c+1 || owner.incarnation >= self.incarnation || view.adopted || self.claim.kind != noTxn {
		return
	}
	state := md.workerState(s, c, m)
	if !state.ShowsOwnersToken(head) {
		return
	}
	if bound && !md.has(adoptAnything) && !Adoptable(head, attempt, hb.attempts[attempt.Number] != absent) {
		return
	}
	commandToken, launch := state.AdoptedTokens(head)
	if md.has(adoptAtClaimToken) {
		launch.Token = uint64(owner.token)
	}
	*view = workerView{adopted: true, mirrorComplete: true, commandToken: uint8(commandToken)}
	for number, listed := range hb.attempts {
		if listed != absent && !md.has(adoptWithoutLaunches) {
			view.launches[number] = launchMark{uint8(launch.Token), uint8(launch.Epoch)}
		}
	}
}

// fenceLaunches requires a new token when a launch of a cancelled job may still arrive at the
// worker, as fenceLaunchesOfFinalJobs does in the core.
func (md *model) fenceLaunches(self *controller, view *workerView, hb heartbeat) {
	if !self.knowsCancelled || md.has(keepTokenOnCancel) {
		return
	}
	for number, listed := range hb.attempts {
		if view.unanswered>>number&1 == 1 && listed == absent {
			view.launchInDoubt = true
		}
	}
}

// attemptsToKill returns the attempts that every answer kills once the controller knows of the
// job's cancellation, as a bit set.
func (md *model) attemptsToKill(hb heartbeat, attempt Attempt, bound bool) (kill uint8) {
	for number, listed := range hb.attempts {
		if listed == running {
			kill |= 1 << number
		}
	}
	if bound && !md.has(killListedOnly) {
		kill |= 1 << attempt.Number // a heartbeat that a launch has overtaken does not list the attempt
	}
	return kill
}

// judgeUntrusted handles the bound attempt after a heartbeat that is answered but not trusted.
func (md *model) judgeUntrusted(s *world, c, m uint8, hb heartbeat, attempt Attempt) {
	if md.has(releaseOnUntrusted) {
		if hb.attempts[attempt.Number] == absent { // the defect: the untrusted list counts as proof
			md.propose(s, c, m, NewerEpoch, attempt)
		}
		return
	}
	head := Heartbeat{Token: uint64(hb.token), Epoch: uint64(hb.epoch), Sequence: uint64(hb.sequence)}
	if action, proof := JudgeEarlierEpoch(head, attempt); action == Release {
		md.propose(s, c, m, proof, attempt)
	}
}

// judgeAttempts compares a trusted heartbeat's list with the records.
func (md *model) judgeAttempts(s *world, c, m uint8, answer *exchange) {
	self, view, hb := &s.controllers[c], &s.controllers[c].views[m], answer.heartbeat
	head := Heartbeat{Token: uint64(hb.token), Epoch: uint64(hb.epoch), Sequence: uint64(hb.sequence)}
	attempt, bound := md.boundAttempt(s, c, m)
	state := md.workerState(s, c, m)
	boundListed := false
	for number := 1; number <= attempts; number++ {
		if hb.attempts[number] == absent {
			continue
		}
		boundListed = boundListed || bound && attempt.Epoch == uint64(hb.epoch) && attempt.Number == number
		listed := ListedAttempt{Number: number, Ended: hb.attempts[number] == ended}
		launch := md.newestLaunch(view, number)
		action, proof := state.JudgeListed(head, listed, attempt, bound, launch)
		if action == RaiseToken && md.raiseTokenAbove(s, c, m, launch) {
			action = Forget
		}
		switch action {
		case Kill:
			answer.kill |= 1 << number
		case Forget:
			answer.forget |= 1 << number
		case Release:
			md.propose(s, c, m, proof, attempt)
		case Keep:
			if self.unwanted || self.knowsCancelled && !md.has(answerWithoutKill) {
				answer.kill |= 1 << number
			}
		}
	}
	if !bound || boundListed {
		return
	}
	wanted := !self.unwanted && !self.knowsCancelled
	ending := self.proposal.proof != 0 || self.taskWrite.kind != noTxn
	launch := md.newestLaunch(view, attempt.Number)
	switch action, proof := state.JudgeMissing(head, attempt, launch, wanted, ending); action {
	case Release:
		md.propose(s, c, m, proof, attempt)
	case RaiseToken:
		md.raiseTokenAbove(s, c, m, launch)
	case Launch:
		answer.launch = uint8(attempt.Number)
	}
}

// propose records a controller's proposal to release an attempt on a machine.
func (md *model) propose(s *world, c, m uint8, proof Proof, attempt Attempt) {
	s.controllers[c].proposal = proposal{proof, m, uint8(attempt.Epoch), uint8(attempt.Number), md.tokenOf(s, c, m)}
}

// markLaunchInDoubt records that a direct launch was not answered, unless the machine's token has changed since.
func (md *model) markLaunchInDoubt(s *world, c uint8, launch directLaunch) {
	if md.tokenOf(s, c, launch.machine) == launch.claim {
		s.controllers[c].views[launch.machine].launchInDoubt = true
	}
}
