// Package directory names the topics in which operators and workers publish, and what their records become.
package directory

import (
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workers"
)

// OperatorRecord is one record of an operator. At most one field is set; none for a record that concerns nobody.
type OperatorRecord struct {
	Catalog *catalog.Catalog
	Wave    *instances.Wave
}

// Codec reads and writes the platform's records.
type Codec interface {
	// OperatorTopic and WorkerTopic are the topics that operators and workers write to, StatusTopic the one the system reports to.
	OperatorTopic() topic.Name
	WorkerTopic() topic.Name
	StatusTopic() topic.Name
	DecodeOperator(record topic.Record) (OperatorRecord, error)
	// DecodeWorker returns an error for an entry that names no worker to use.
	DecodeWorker(record topic.Record) (workers.Info, error)
	EncodeWaveStatus(wave int64, completed bool) topic.Record
	// ConfigKey is the key of the configuration among the operators' records.
	ConfigKey() string
	// SetConfigVersion returns a configuration document with another version.
	SetConfigVersion(document []byte, version int64) ([]byte, error)
	EncodeWave(wave *instances.Wave) (topic.Record, error)
}
