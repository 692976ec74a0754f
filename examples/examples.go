// Package examples embeds an example questionnaire that ships with ospreyshed.
package examples

import _ "embed"

// Quickstart is the questionnaire of the demo: two availability zones and one
// team with model-backed and plain classes of request. Its endpoints have no
// addresses.
//
//go:embed quickstart.json
var Quickstart []byte

// QuickstartKey is the bearer key of the team in Quickstart.
const QuickstartKey = "quickstart-key"
