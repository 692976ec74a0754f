// Package configurationv1 holds the messages by which entry VMs carry
// configuration to each other. Its code is generated from configuration.proto.
package configurationv1

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=github.com/ospreyshed/ospreyshed --connect-go_out=../../.. --connect-go_opt=module=github.com/ospreyshed/ospreyshed api/configuration/v1/configuration.proto
