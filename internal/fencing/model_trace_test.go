package fencing

import (
	"fmt"
	"strings"
)

// violation describes how a world violates the invariant, "" if it doesn't.
func (md *model) violation(s *world) string {
	task, _ := s.current(taskKey)
	for m := range s.workers {
		epoch := s.workers[m].epoch
		for number, state := range s.workers[m].attempts {
			if state != running {
				continue
			}
			if s.deadlinePassed {
				return fmt.Sprintf("attempt %d of a cancelled job runs on machine %d after cancel_s", number, m)
			}
			if !task.bound || task.machine != uint8(m) || task.attempt != uint8(number) || task.epoch != epoch {
				return fmt.Sprintf("attempt %d runs on machine %d in epoch %d, but the record says: %s", number, m, epoch, task.describeTask())
			}
		}
	}
	return ""
}

// describeTask describes the task's state after a change.
func (ch change) describeTask() string {
	if !ch.bound {
		return fmt.Sprintf("pending after attempt %d", ch.attempt)
	}
	return fmt.Sprintf("attempt %d on machine %d in epoch %d", ch.attempt, ch.machine, ch.epoch)
}

func (ch change) String() string {
	switch {
	case ch.key == 0:
		return "the job is cancelled"
	case ch.key == taskKey+1:
		return "the task is " + ch.describeTask()
	case ch.key > groupKey:
		group := ch.key - 1 - groupKey
		return fmt.Sprintf("what controller %d, incarnation %d, owns fails over to controller %d, incarnation %d",
			group/incarnations, group%incarnations+1, ch.owner-1, ch.incarnation)
	}
	return fmt.Sprintf("machine %d is claimed by controller %d, incarnation %d", ch.key-1, ch.owner-1, ch.incarnation)
}

// trace collects descriptions of what a step did.
type trace struct{ strings.Builder }

func (tr *trace) addf(format string, args ...any) { fmt.Fprintf(tr, format+"; ", args...) }

// describeStep describes a step by the differences between the worlds before and after it.
func describeStep(before, after *world) string {
	var tr trace
	for revision := before.revision + 1; revision <= after.revision; revision++ {
		tr.addf("revision %d: %v", revision, after.history[revision])
	}
	for _, event := range []struct {
		was, is bool
		text    string
	}{
		{before.confirmed, after.confirmed, "the cancellation is confirmed to its user"},
		{before.horizonPassed, after.horizonPassed, "the horizon passes"},
		{before.deadlinePassed, after.deadlinePassed, "cancel_s passes"},
	} {
		if event.is && !event.was {
			tr.addf("%s", event.text)
		}
	}
	for c := range after.controllers {
		tr.describeController(c, &before.controllers[c], &after.controllers[c], after.revision)
	}
	for m := range after.workers {
		tr.describeWorker(m, &before.workers[m], &after.workers[m])
	}
	return tr.String()
}

func (tr *trace) describeController(c int, before, after *controller, revision uint8) {
	if after.knowsCancelled && !before.knowsCancelled {
		tr.addf("controller %d knows of the cancellation", c)
	}
	switch {
	case before.incarnation != after.incarnation:
		tr.addf("controller %d crashes", c)
		return
	case before.appliedRevision != after.appliedRevision:
		tr.addf("controller %d's watch reaches %d of %d", c, after.appliedRevision, revision)
	case before.watchOpenedAt != after.watchOpenedAt:
		tr.addf("controller %d's watch returns no changes", c)
	}
	if p := after.proposal; p.proof != 0 && before.proposal != p {
		tr.addf("controller %d finds %v of attempt %d on machine %d under token %d", c, p.proof, p.attempt, p.machine, p.token)
	}
	tr.describeTxn(c, before.claim, after.claim)
	tr.describeTxn(c, before.taskWrite, after.taskWrite)
	if before.lateTxn.kind == noTxn && after.lateTxn.kind != noTxn {
		tr.addf("controller %d gives up on a %v, which may be applied late", c, after.lateTxn.kind)
	}
	for i := range before.launches {
		tr.describeLaunch(c, before.launches[i], after.launches[i])
	}
	if after.unwanted && !before.unwanted {
		tr.addf("controller %d wants the task stopped", c)
	}
}

func (tr *trace) describeTxn(c int, before, after txn) {
	switch {
	case before.kind == noTxn && after.kind != noTxn:
		tr.addf("controller %d sends a %v of machine %d", c, after.kind, after.machine)
	case before.outcome == underWay && after.outcome == refused:
		tr.addf("controller %d's %v is refused", c, before.kind)
	case before.kind != noTxn && after.kind == noTxn && before.outcome == committed:
		tr.addf("controller %d handles the answer to a %v, or the answer is lost", c, before.kind)
	}
}

func (tr *trace) describeLaunch(c int, before, after directLaunch) {
	switch {
	case after.pending && !before.pending:
		tr.addf("controller %d launches attempt %d on machine %d directly, token %d", c, after.attempt, after.machine, after.token)
	case before.pending && !after.pending:
		tr.addf("controller %d's direct launch of attempt %d arrives", c, before.attempt)
	case after.abandoned && !before.abandoned:
		tr.addf("controller %d gives up on its direct launch of attempt %d", c, before.attempt)
	}
}

func (tr *trace) describeWorker(m int, before, after *worker) {
	was, is := &before.exchange, &after.exchange
	switch {
	case after.deleted != before.deleted:
		tr.addf("machine %d is deleted", m)
		return
	case after.epoch != before.epoch:
		tr.addf("machine %d's lease ends", m)
	case after.delayed.pending && !before.delayed.pending:
		tr.addf("machine %d's heartbeat is delayed", m)
	case before.delayed.pending && !after.delayed.pending:
		tr.addf("controller %d receives machine %d's delayed heartbeat", before.delayed.receiver, m)
	case is.answered:
		if !was.answered {
			tr.addf("controller %d answers machine %d with token %d, launch %d, forget %b, kill %b", is.heartbeat.receiver, m, is.token, is.launch, is.forget, is.kill)
		}
	case is.heartbeat.pending && !was.heartbeat.pending:
		tr.addf("machine %d reports %v to controller %d, token %d", m, is.heartbeat.attempts[1:], is.heartbeat.receiver, after.token)
	case was.heartbeat.pending && !is.heartbeat.pending:
		tr.addf("machine %d's heartbeat exchange ends", m)
	}
	for number := range after.attempts {
		if before.attempts[number] != after.attempts[number] {
			tr.addf("attempt %d on machine %d: %v", number, m, after.attempts[number])
		}
	}
}
