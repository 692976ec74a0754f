// Package standin starts stand-ins (fakes) of the platform's services and of the
// endpoints on loopback ports. The stand-ins themselves are in its subpackages.
package standin

import (
	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/standin/logstore"
	"github.com/ospreyshed/ospreyshed/internal/standin/plain"
	"github.com/ospreyshed/ospreyshed/internal/standin/vmlist"
)

var namespace = errorx.NewNamespace("standin").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// UnknownName means that no stand-in has the given name.
var UnknownName = namespace.NewType("unknown-name")

// AnyAddress makes a stand-in listen on a free port of the loopback interface.
const AnyAddress = "127.0.0.1:0"

// Options describe a set of stand-ins. An empty address counts as AnyAddress.
type Options struct {
	Log     LogOptions      `json:"log"`
	VMList  VMListOptions   `json:"vm_list"`
	Engines []EngineOptions `json:"engines"`
	Plain   []PlainOptions  `json:"plain"`
	// Links limit the imports of KV caches between availability zones.
	Links []configuration.Link `json:"links"`
}

// LogOptions describe the log service.
type LogOptions struct {
	Address string `json:"address"`
	logstore.Options
}

// VMListOptions describe the list of VMs. Engines and plain services are added to
// the VMs given here.
type VMListOptions struct {
	Address string `json:"address"`
	vmlist.Options
}

// EngineOptions describe an engine.
type EngineOptions struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	engine.Options
}

// PlainOptions describe an instance of a plain service.
type PlainOptions struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	plain.Options
}
