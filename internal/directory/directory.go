// Package directory defines the topics of operators and workers and the codec of their records.
package directory

import (
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workers"
)

// OperatorRecord is a decoded record of the operator topic. At most one field is set; none if the record is irrelevant.
type OperatorRecord struct {
	Catalog *catalog.Catalog
	Wave    *instances.Wave
	// Evacuation may also be set for a record that could not be read: its key says all.
	Evacuation *Evacuation
}

// Evacuation is a request that nothing more is started in an availability zone, or its removal.
type Evacuation struct {
	Zone    string
	Removed bool
}

// Codec decodes and encodes the platform's records.
type Codec interface {
	OperatorTopic() topic.Name // written by operators
	WorkerTopic() topic.Name   // written by workers
	StatusTopic() topic.Name   // written by the owner
	DecodeOperator(record topic.Record) (OperatorRecord, error)
	// DecodeWorker returns an error for a record that describes no usable worker.
	DecodeWorker(record topic.Record) (workers.Info, error)
	EncodeWaveStatus(wave int64, completed bool) topic.Record
	// ConfigKey returns the key of the configuration in the operator topic.
	ConfigKey() string
	// SetConfigVersion returns a copy of a configuration document with the given version.
	SetConfigVersion(document []byte, version int64) ([]byte, error)
	EncodeWave(wave *instances.Wave) (topic.Record, error)
	// EncodeEvacuation returns the record that requests the evacuation of a zone, or removes the request.
	EncodeEvacuation(zone string, removed bool) topic.Record
}
