package claim

import (
	"github.com/anishathalye/porcupine"
)

// operation is the kind of a step in a history.
type operation int

const (
	opClaim operation = iota
	opExecute
	opFinish
	opDeliver
)

// step is the input of a history's operation.
type step struct {
	op  operation
	key int
	// attempt numbers the attempts of a history from 1.
	attempt   int
	execution Execution
	delivered bool
	// afterRecovery is set if all faults ended and all outcomes were recorded
	// before the step.
	afterRecovery bool
}

// result is the output of a history's operation.
type result struct {
	kind Kind
	// uncertain is set if the operation may have had no effect.
	uncertain bool
	// noEffect is set if the operation had no effect.
	noEffect bool
}

// keyModel is the sequential specification's state of one key. The first claim
// wins; nothing changes the winner.
type keyModel struct {
	winner    int
	executed  bool
	execution Execution
	delivered bool
	holder    int
}

// specification is the sequential specification of claims. Running is allowed
// for each claimed key, since a decision may be based on slightly stale state,
// except for attempts after all outcomes were recorded.
var specification = porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{keyModel{}} },
	Step: func(state, input, output any) []any {
		return state.(keyModel).step(input.(step), output.(result))
	},
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[int][]porcupine.Operation)
	for _, op := range history {
		key := op.Input.(step).key
		parts[key] = append(parts[key], op)
	}
	var list [][]porcupine.Operation
	for _, part := range parts {
		list = append(list, part)
	}
	return list
}

func (m keyModel) step(in step, out result) []any {
	if out.noEffect {
		return []any{m}
	}
	next, ok := m.effect(in, out)
	switch {
	case ok && out.uncertain:
		return []any{m, next}
	case ok:
		return []any{next}
	case out.uncertain:
		return []any{m}
	}
	return nil
}

func (m keyModel) effect(in step, out result) (keyModel, bool) {
	switch in.op {
	case opClaim:
		return m.claim(in, out)
	case opExecute:
		ok := m.winner == in.attempt && !m.executed && m.execution == 0
		m.executed = true
		return m, ok
	case opFinish:
		ok := m.winner == in.attempt && m.execution == 0 && (in.execution != DidNotRun || !m.executed)
		m.execution = in.execution
		m.delivered = in.delivered
		return m, ok
	default:
		ok := m.holder == in.attempt
		m.holder = 0
		m.delivered = in.delivered
		return m, ok
	}
}

func (m keyModel) claim(in step, out result) (keyModel, bool) {
	ran := m.execution == Ran
	switch out.kind {
	case Run:
		ok := m.winner == 0
		m.winner = in.attempt
		return m, ok
	case Running:
		return m, m.winner != 0 && (!in.afterRecovery || m.execution == 0)
	case Unknown:
		return m, m.winner != 0
	case Answered:
		return m, ran && m.delivered
	case Recorded:
		ok := ran && !m.delivered && m.holder == 0
		m.holder = in.attempt
		return m, ok
	case Withheld, DeliveryUnknown:
		return m, ran
	case ClosedNotRun:
		return m, m.execution == DidNotRun
	}
	// A refusal in doubt takes a free key and closes it, or has no effect.
	ok := m.winner == 0
	m.winner = in.attempt
	m.execution = DidNotRun
	return m, ok
}
