package main

import (
	"fmt"
	"runtime/debug"

	"silvergate/internal/coordination"
	"silvergate/internal/recorder"
)

// startRecording puts a recorder in front of the core, if the operators enabled one. It must be
// called before the core's first input.
func (n *controller) startRecording(seed [2]uint64) error {
	r := n.cfg.Operator.Recorder
	if r == nil {
		return nil
	}
	h, err := coordination.RecordingHeader(n.cfg, build(), n.start.UnixNano(), seed)
	if err != nil {
		return fmt.Errorf("recorder: %w", err)
	}
	const mb = 1 << 20
	options := recorder.Options{
		Dir:     r.Dir,
		Max:     int64(r.MaxMB * mb),
		Segment: int64(r.SegmentMB * mb),
		Flush:   r.Flush,
	}
	n.recording, err = recorder.NewWriter(options, h)
	if err != nil {
		return err
	}
	n.inputs = coordination.NewRecordedCore(n.core, n.recording)
	n.log.Info("recording", "dir", r.Dir, "max_mb", r.MaxMB)
	return nil
}

// build returns the version and the commit of this build, for the headers of recordings.
func build() string {
	out := version
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
				out += " " + s.Key[len("vcs."):] + " " + s.Value
			}
		}
	}
	return out
}

// checkRecording stops recording if the recorder has failed, and logs that once.
func (n *controller) checkRecording() {
	if n.recording == nil || n.inputs == inputHandler(n.core) {
		return
	}
	if err := n.recording.Err(); err != nil {
		n.inputs = n.core
		n.log.Error("recording stopped after an error; the inputs recorded so far can be replayed", "error", err)
	}
}
