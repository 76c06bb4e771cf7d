// Package reducer applies the records of the configuration stream to the configuration state.
//
// Apply is a pure function: nodes that apply the same records in offset order
// hold the same state. A record is applied in full or not at all.
package reducer

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Bounds of the state.
const (
	// MaxRecordBytes bounds one record.
	MaxRecordBytes = 1 << 20
	// maxVerdicts bounds the stored verdicts, and thereby the window in which a duplicate record is recognised.
	maxVerdicts = 512
)

// Apply returns the state after one more record.
//
// A record at an offset below the position is ignored; one above it is an error of KindGap.
// For a rejected record the returned state differs in position and verdicts only, and the
// error gives the reason. A corrupt or duplicate record gets no verdict.
func Apply(s *State, record *schema.LogRecord) (*State, error) {
	switch {
	case Position(record.Offset) < s.Position:
		return s, nil
	case Position(record.Offset) > s.Position:
		return s, &Error{Operation: "apply", Kind: KindGap,
			Detail: fmt.Sprintf("record at position %v, but the state is at position %v", Position(record.Offset), s.Position)}
	}
	advanced := s.WithPosition(Position(record.Offset + 1))
	decoded, err := decode(record.Body)
	if err != nil {
		return advanced, err
	}
	if earlier := s.FindVerdict(decoded.Id); earlier != nil {
		return advanced, &Error{Operation: "apply", Kind: KindDuplicate, Detail: "record " + decoded.Id + " was already processed"}
	}
	next, err := applyBody(advanced, decoded)
	if err != nil {
		return advanced.withVerdict(&schema.Verdict{Id: decoded.Id, Offset: record.Offset, Reason: err.Error()}), err
	}
	if decoded.GetCheckpoint() == nil {
		next.Version = record.Offset + 1
	}
	return next.withVerdict(&schema.Verdict{Id: decoded.Id, Offset: record.Offset, Accepted: true}), nil
}

func decode(body []byte) (*schema.Record, error) {
	if len(body) > MaxRecordBytes {
		return nil, &Error{Operation: "decode", Kind: KindCorrupt, Detail: "record larger than 1 MiB"}
	}
	record := &schema.Record{}
	if err := proto.Unmarshal(body, record); err != nil {
		return nil, &Error{Operation: "decode", Kind: KindCorrupt, Detail: err.Error()}
	}
	if record.Id == "" || record.Body == nil {
		return nil, &Error{Operation: "decode", Kind: KindCorrupt, Detail: "record without id or body"}
	}
	return record, nil
}

func applyBody(s *State, record *schema.Record) (*State, error) {
	switch b := record.Body.(type) {
	case *schema.Record_Publish:
		return applyPublish(s, b.Publish, record.AppendedUnixMs)
	case *schema.Record_Outcome:
		return applyOutcome(s, b.Outcome)
	case *schema.Record_Drain:
		return applyDrain(s, b.Drain)
	case *schema.Record_Evacuation:
		return applyEvacuation(s, b.Evacuation)
	case *schema.Record_Checkpoint:
		return s.clone(), nil
	}
	return nil, invalid("unknown record body")
}

func applyOutcome(s *State, outcome *schema.Outcome) (*State, error) {
	rollout, ok := s.Rollouts[outcome.Rollout]
	if !ok || rollout.DeclaredVersion != outcome.DeclaredVersion {
		return nil, invalid("no rollout %q declared at version %d", outcome.Rollout, outcome.DeclaredVersion)
	}
	if rollout.Phase != schema.RolloutPhase_ROLLOUT_PHASE_OPEN {
		return nil, &Error{Operation: "apply", Kind: KindConflict, Detail: "rollout " + rollout.Name + " is already closed"}
	}
	next := s.clone()
	closed := proto.CloneOf(rollout)
	closed.Reason = outcome.Reason
	closed.Phase = schema.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
	if outcome.Completed {
		closed.Phase = schema.RolloutPhase_ROLLOUT_PHASE_COMPLETED
		service := proto.CloneOf(s.Services[rollout.Service])
		service.StableVersion = rollout.To
		next.Services[service.Name] = service
	}
	next.Rollouts[closed.Name] = closed
	return next, nil
}

func applyDrain(s *State, drain *schema.Drain) (*State, error) {
	if drain.Node == "" {
		return nil, invalid("drain without a node")
	}
	next := s.clone()
	if drain.Draining {
		next.DrainedNodes[drain.Node] = true
	} else {
		delete(next.DrainedNodes, drain.Node)
	}
	return next, nil
}

func applyEvacuation(s *State, evacuation *schema.Evacuation) (*State, error) {
	if evacuation.Zone == "" {
		return nil, invalid("evacuation without an availability zone")
	}
	return s.WithEvacuation(evacuation.Zone, evacuation.Evacuated), nil
}
