// Package pollenford embeds the generated OpenAPI document, so that the binary can serve it.
package pollenford

import "embed"

// OpenAPI holds gen/http/openapi3.json.
//
//go:embed gen/http/openapi3.json
var OpenAPI embed.FS
