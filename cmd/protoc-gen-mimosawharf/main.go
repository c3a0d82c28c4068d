// Command protoc-gen-mimosawharf is a protoc plugin. From the check field option it writes a Check
// method for each message, and from the setting field option the settings of the daemon together
// with their documentation page.
package main

import (
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	protogen.Options{}.Run(func(p *protogen.Plugin) error {
		p.SupportedFeatures = uint64(pluginpb.CodeGeneratorResponse_FEATURE_PROTO3_OPTIONAL)
		for _, f := range p.Files {
			if !f.Generate {
				continue
			}
			generateChecks(p, f)
			generateSettings(p, f)
		}
		return nil
	})
}
