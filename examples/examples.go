// Package examples embeds an example questionnaire that ships with ospreyshed.
package examples

import _ "embed"

// Quickstart is the questionnaire of the demo: one team with classes of request
// of all kinds and two availability zones. Its endpoints have no addresses.
//
//go:embed quickstart.json
var Quickstart []byte

// QuickstartKey is the bearer key of the team in Quickstart.
const QuickstartKey = "quickstart-key"
