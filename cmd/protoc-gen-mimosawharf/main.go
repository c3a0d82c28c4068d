// Command protoc-gen-mimosawharf is a protoc plugin. From the check field option it writes a Check
// method for each message, and from the setting field option the settings of the daemon together
// with their documentation page.
package main

import (
	"google.golang.org/protobuf/compiler/protogen"

	"github.com/mimosawharf/mimosawharf/cmd/protoc-gen-mimosawharf/generate"
)

func main() {
	protogen.Options{}.Run(generate.All)
}
