package claim

import (
	"net/http"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// Prefixes of record ids, one per kind of record; a writer uses each sequence
// number at most once per kind.
const (
	claimPrefix     = "c"
	outcomePrefix   = "o"
	deliveryPrefix  = "d"
	returnedPrefix  = "r"
	confirmedPrefix = "f"
)

// newRecord returns a record of a key with its kind unset.
func newRecord(key Key, writer *claimv1.Writer) *claimv1.Record {
	return &claimv1.Record{Team: key.Team, Key: key.Key, Writer: writer}
}

func claimRecord(key Key, writer *claimv1.Writer) *claimv1.Record {
	record := newRecord(key, writer)
	record.Kind = &claimv1.Record_Claim{Claim: &claimv1.Claim{}}
	return record
}

func outcomeRecord(key Key, writer *claimv1.Writer, outcome *claimv1.Outcome) *claimv1.Record {
	record := newRecord(key, writer)
	record.Kind = &claimv1.Record_Outcome{Outcome: outcome}
	return record
}

func deliveryRecord(key Key, writer *claimv1.Writer) *claimv1.Record {
	record := newRecord(key, writer)
	record.Kind = &claimv1.Record_Delivery{Delivery: &claimv1.Delivery{}}
	return record
}

func returnedRecord(key Key, writer *claimv1.Writer) *claimv1.Record {
	record := newRecord(key, writer)
	record.Kind = &claimv1.Record_DeliveryReturned{DeliveryReturned: &claimv1.DeliveryReturned{}}
	return record
}

func confirmedRecord(key Key, writer *claimv1.Writer) *claimv1.Record {
	record := newRecord(key, writer)
	record.Kind = &claimv1.Record_DeliveryConfirmed{DeliveryConfirmed: &claimv1.DeliveryConfirmed{}}
	return record
}

// encodeRecord returns the log entry of a record.
func encodeRecord(record *claimv1.Record) (logservice.Entry, error) {
	data, err := proto.Marshal(record)
	if err != nil {
		return logservice.Entry{}, err
	}
	return logservice.Entry{ID: recordID(record), Data: data}, nil
}

// recordID returns "<kind>.<vm>.<incarnation>.<sequence>".
func recordID(record *claimv1.Record) string {
	writer := record.GetWriter()
	id := make([]byte, 0, len(writer.GetVm())+45)
	id = append(id, recordPrefix(record)...)
	id = append(id, '.')
	id = append(id, writer.GetVm()...)
	id = append(id, '.')
	id = strconv.AppendUint(id, writer.GetIncarnation(), 10)
	id = append(id, '.')
	id = strconv.AppendUint(id, writer.GetSequence(), 10)
	return string(id)
}

func recordPrefix(record *claimv1.Record) string {
	switch record.GetKind().(type) {
	case *claimv1.Record_Claim:
		return claimPrefix
	case *claimv1.Record_Outcome:
		return outcomePrefix
	case *claimv1.Record_Delivery:
		return deliveryPrefix
	case *claimv1.Record_DeliveryConfirmed:
		return confirmedPrefix
	default:
		return returnedPrefix
	}
}

// urgent reports whether a caller is waiting for the record's settlement.
func urgent(record *claimv1.Record) bool {
	return record.GetClaim() != nil || record.GetDelivery() != nil
}

// executions maps executions to their protobuf values.
var executions = map[Execution]claimv1.Execution{
	Ran:        claimv1.Execution_EXECUTION_RAN,
	DidNotRun:  claimv1.Execution_EXECUTION_NOT_RUN,
	MayHaveRun: claimv1.Execution_EXECUTION_UNKNOWN,
}

// message returns the outcome as a protobuf message. An outcome without a valid
// execution is recorded as one that may have run.
func (o Outcome) message() *claimv1.Outcome {
	execution, ok := executions[o.Execution]
	if !ok {
		execution = claimv1.Execution_EXECUTION_UNKNOWN
	}
	message := &claimv1.Outcome{Execution: execution, Delivered: o.Delivered}
	if o.Execution == Ran && !o.Delivered {
		message.Answer = o.Answer.message()
	}
	return message
}

// message returns the answer as a protobuf message, without a body that exceeds
// MaxBodyBytes.
func (a Answer) message() *claimv1.Answer {
	message := &claimv1.Answer{Status: int32(a.Status), Body: a.Body, BodyDropped: a.BodyDropped}
	if len(a.Body) > MaxBodyBytes {
		message.Body = nil
		message.BodyDropped = true
	}
	names := make([]string, 0, len(a.Header))
	for name := range a.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		message.Headers = append(message.Headers, &claimv1.Header{Name: name, Values: a.Header[name]})
	}
	return message
}

// answerFrom converts an answer from its protobuf message.
func answerFrom(message *claimv1.Answer) Answer {
	answer := Answer{
		Status:      int(message.GetStatus()),
		Header:      make(http.Header, len(message.GetHeaders())),
		Body:        message.GetBody(),
		BodyDropped: message.GetBodyDropped(),
	}
	for _, header := range message.GetHeaders() {
		answer.Header[header.GetName()] = header.GetValues()
	}
	return answer
}
