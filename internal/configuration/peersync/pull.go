package peersync

import (
	"context"
	"slices"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	configurationv1 "github.com/ospreyshed/ospreyshed/api/configuration/v1"
	"github.com/ospreyshed/ospreyshed/api/configuration/v1/configurationv1connect"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

var namespace = errorx.NewNamespace("peersync").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// BadAnswer means that a peer's response could not be interpreted.
var BadAnswer = namespace.NewType("bad-answer")

type client = configurationv1connect.ConfigurationServiceClient

// Pulled is the part of a peer's state that supersedes the local state.
type Pulled struct {
	// Records are re-appends of the versions that supersede local ones.
	Records []configuration.Record
	// Complete says that the peer's state is complete and was pulled entirely.
	Complete bool
}

// pull compares local versions with a peer's state and fetches the versions that
// supersede them. Records that cannot be decoded are skipped, and the result is
// then not complete.
func pull(ctx context.Context, from client, versions []configuration.Current) (Pulled, error) {
	own := digestsOf(versions)
	compared, err := compare(ctx, from, own)
	if err != nil {
		return Pulled{}, err
	}
	wanted := newer(compared.GetPositions(), versions)
	pulled := Pulled{Complete: compared.GetComplete()}
	for len(wanted) > 0 {
		batch := wanted[:min(len(wanted), maxFetchSubjects)]
		response, err := from.Fetch(ctx, connect.NewRequest(&configurationv1.FetchRequest{Subjects: batch}))
		if err != nil {
			return Pulled{Records: pulled.Records}, err
		}
		if len(response.Msg.GetRecords()) == 0 {
			return Pulled{Records: pulled.Records}, BadAnswer.New("the response holds none of the %d requested records", len(batch))
		}
		wanted = pulled.add(response.Msg.GetRecords(), wanted)
	}
	return pulled, nil
}

// compare sends only the total digest at first, so that equal states need only one
// small exchange. If the totals differ it sends the digests of all buckets.
func compare(ctx context.Context, from client, own digests) (*configurationv1.CompareResponse, error) {
	request := &configurationv1.CompareRequest{Digest: own.total()}
	response, err := from.Compare(ctx, connect.NewRequest(request))
	if err != nil || response.Msg.GetEqual() {
		return messageOf(response), err
	}
	request.Buckets = own.buckets[:]
	response, err = from.Compare(ctx, connect.NewRequest(request))
	return messageOf(response), err
}

func messageOf(response *connect.Response[configurationv1.CompareResponse]) *configurationv1.CompareResponse {
	if response == nil {
		return nil
	}
	return response.Msg
}

// newer returns the subjects whose offered positions supersede the local ones.
func newer(offered []*configurationv1.Position, versions []configuration.Current) []string {
	own := make(map[string]configuration.Position, len(versions))
	for _, current := range versions {
		own[current.Record.Subject] = current.Position
	}
	var wanted []string
	for _, position := range offered {
		if positionFromWire(position).Supersedes(own[position.GetSubject()]) {
			wanted = append(wanted, position.GetSubject())
		}
	}
	return wanted
}

// add appends fetched records and returns the subjects that are still to be
// fetched.
func (p *Pulled) add(records []*configurationv1.Record, wanted []string) []string {
	got := make(map[string]bool, len(records))
	for _, wire := range records {
		got[wire.GetSubject()] = true
		record, err := recordFromWire(wire)
		if err != nil {
			p.Complete = false
			continue
		}
		p.Records = append(p.Records, record)
	}
	return slices.DeleteFunc(wanted, func(subject string) bool { return got[subject] })
}
