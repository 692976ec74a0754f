package configuration

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/team"
)

func seconds(n float64) Duration { return Duration(n * float64(time.Second)) }

// testBundle returns a valid bundle of two zones and the given teams.
func testBundle(teams ...string) Bundle {
	bundle := Bundle{Format: Format, Fleet: testFleet()}
	for _, name := range teams {
		bundle.Teams = append(bundle.Teams, testTeam(name, 1))
	}
	return bundle
}

func testFleet() Fleet {
	return Fleet{
		Zones: []Zone{{Name: "zone-a"}, {Name: "zone-b"}},
		VMs: []VM{
			{Name: "vm-1", Zone: "zone-a", Address: "10.0.0.1:9000"},
			{Name: "vm-2", Zone: "zone-b", Address: "10.0.0.2:9000"},
		},
		Endpoints: []Endpoint{
			{Name: "prefill-1", Zone: "zone-a", Address: "10.0.1.1:9100", Kind: KindEngine, Model: "drafter", Role: RolePrefill},
			{Name: "decode-1", Zone: "zone-a", Address: "10.0.1.2:9100", Kind: KindEngine, Model: "drafter", Role: RoleDecode, Slots: 20},
			{Name: "decode-2", Zone: "zone-b", Address: "10.0.1.3:9100", Kind: KindEngine, Model: "drafter", Role: RoleDecode, Slots: 20},
			{Name: "desk-1", Zone: "zone-a", Address: "10.0.2.1:9200", Kind: KindPlain, Service: "desk"},
			{Name: "desk-2", Zone: "zone-b", Address: "10.0.2.2:9200", Kind: KindPlain, Service: "desk"},
		},
		Models: []Model{{Name: "drafter", PrefillTokensPerSecond: 5000, TokenInterval: seconds(0.02)}},
		Links:  []Link{{From: "zone-a", To: "zone-b", BytesPerSecond: 1 << 30, OneWayDelay: seconds(0.003)}},
		Times: Times{
			BalancerLag: seconds(5), DrainLimit: seconds(120), LogRetention: seconds(3600),
			KeyWindow: seconds(1800), ClockSkew: seconds(10),
		},
	}
}

func testTeam(name string, share float64) Team {
	return Team{
		Name:       name,
		KeyDigests: []string{team.DigestOf("key of " + name).String()},
		Weights:    Weights{Goodput: 1},
		Share:      share,
		Classes: []Class{
			{
				Name: "summary", Model: "drafter", Method: "POST", Path: "/v1/completions", Repeat: Repeatable, Key: KeyOptional,
				Targets: Targets{FirstToken: seconds(2), BetweenTokens: seconds(0.1), WholeAnswer: seconds(60)}, Order: OrderFirstCome,
			},
			{
				Name: "booking", Service: "desk", Method: "POST", Path: "/bookings/*", Repeat: NeverRepeat, Key: KeyRequired,
				Targets: Targets{WholeAnswer: seconds(1)}, Order: OrderAny,
			},
			{Name: "any", Service: "desk", Method: "GET", Path: "/*", Repeat: Repeatable, Key: KeyNone, Order: OrderAny},
		},
	}
}

// publishOf returns a publish record. It panics if the record is not valid, which
// is an error in the test itself.
func publishOf(subject string, base uint64, publisher string, document any) Record {
	record, err := newPublish(subject, base, publisher, document)
	if err != nil {
		panic(err)
	}
	return record
}
