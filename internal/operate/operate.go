// Package operate publishes configurations, maintenance waves and evacuations of zones to the operator topic, which entry instances follow.
package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/directory"
	"github.com/pollenford/pollenford/internal/finding"
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/topic"
)

// Errors of a Publisher, in addition to finding.List and VersionError.
const (
	ErrNoConfig   = errors.ConstError("no configuration has been published")
	ErrWaveExists = errors.ConstError("a wave with this number exists")
	// errNoChange ends a publication that has nothing to change.
	errNoChange = errors.ConstError("no change")
	// ErrOutcomeUnknown means that the record may have been published or may still be published.
	ErrOutcomeUnknown = errors.ConstError("it is not known whether the record was published")
)

// VersionError means that the patch was made for another version of the configuration.
type VersionError struct{ Current int64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("the configuration has version %d", e.Current)
}

// Format is the format of a patch.
type Format string

// Formats of patches.
const (
	MergePatch Format = "merge"      // RFC 7396
	JSONPatch  Format = "json-patch" // RFC 6902
)

const (
	// MaxDocumentBytes limits a configuration to the largest record that the known stores accept.
	MaxDocumentBytes = 256 << 10
	// maxAppendAttempts limits the attempts of an append that conflicts with appends of other operators.
	maxAppendAttempts = 5
)

// Publisher reads and writes the operator topic. Each append is conditional on the end of the topic, so operators never
// overwrite each other's records.
type Publisher struct {
	Store topic.Store
	Codec directory.Codec
}

// Document is a published configuration in the format of the platform.
type Document struct {
	Version int64
	JSON    json.RawMessage
}

// topicState is a snapshot of the operator topic.
type topicState struct {
	config Document
	values map[string][]byte // by key; empty for an evacuation whose record could not be read
	end    int64
}

func (p *Publisher) readTopic(ctx context.Context) (topicState, error) {
	records, end, err := topic.ReadOddSnapshot(ctx, p.Store, p.Codec.OperatorTopic())
	if err != nil {
		return topicState{}, errors.Annotate(err, "reading the operators' records")
	}
	s := topicState{values: map[string][]byte{}, end: end}
	for _, r := range records {
		s.values[r.Key] = r.Value
		if r.Err == nil && r.Key != p.Codec.ConfigKey() {
			continue
		}
		// The record of an evacuation counts whatever it holds; any other that cannot be read may be the configuration.
		decoded, err := p.Codec.DecodeOperator(r)
		if err != nil {
			return topicState{}, err
		}
		if decoded.Catalog != nil {
			s.config = Document{Version: decoded.Catalog.Version, JSON: r.Value}
		}
	}
	return s, nil
}

// Config returns the newest configuration, or ErrNoConfig.
func (p *Publisher) Config(ctx context.Context) (Document, error) {
	s, err := p.readTopic(ctx)
	if err == nil && s.config.JSON == nil {
		err = ErrNoConfig
	}
	return s.config, err
}

// Patch publishes the next version of the configuration, or returns a VersionError if the given version is not current.
// A finding.List error lists everything that is wrong with the patched document.
func (p *Publisher) Patch(ctx context.Context, version int64, format Format, patch []byte) (Document, error) {
	var next Document
	err := p.publish(ctx, func(s topicState) (topic.Record, error) {
		if s.config.Version != version {
			return topic.Record{}, &VersionError{s.config.Version}
		}
		data, err := p.patchConfig(s.config, format, patch)
		next = Document{version + 1, data}
		return topic.Record{Key: p.Codec.ConfigKey(), Value: data}, err
	})
	return next, err
}

// patchConfig applies a patch and validates the result.
func (p *Publisher) patchConfig(current Document, format Format, patch []byte) ([]byte, error) {
	document := []byte(current.JSON)
	if document == nil {
		document = []byte("{}")
	}
	data, err := applyPatch(format, document, patch)
	if err != nil {
		return nil, finding.List{{Message: err.Error()}}
	}
	if data, err = p.Codec.SetConfigVersion(data, current.Version+1); err != nil {
		return nil, finding.List{{Message: err.Error()}}
	}
	if len(data) > MaxDocumentBytes {
		return nil, finding.List{{Message: "the patched configuration is too large for the store"}}
	}
	decoded, err := p.Codec.DecodeOperator(topic.Record{Key: p.Codec.ConfigKey(), Value: data})
	if err != nil {
		return nil, finding.List{{Message: err.Error()}}
	}
	return data, decoded.Catalog.Findings.Err()
}

func applyPatch(format Format, document, patch []byte) ([]byte, error) {
	if format == MergePatch {
		return jsonpatch.MergePatch(document, patch)
	}
	operations, err := jsonpatch.DecodePatch(patch)
	if err != nil {
		return nil, err
	}
	options := jsonpatch.NewApplyOptions()
	options.AccumulatedCopySizeLimit = MaxDocumentBytes // each copy operation can double the size of the document
	return operations.ApplyWithOptions(document, options)
}

// StartWave publishes a maintenance wave, or returns ErrWaveExists.
func (p *Publisher) StartWave(ctx context.Context, wave *instances.Wave) error {
	return p.publish(ctx, func(s topicState) (topic.Record, error) {
		record, err := p.Codec.EncodeWave(wave)
		if _, exists := s.values[record.Key]; exists && err == nil {
			err = ErrWaveExists
		}
		return record, err
	})
}

// Evacuate requests the evacuation of a zone.
func (p *Publisher) Evacuate(ctx context.Context, zone string) error {
	return p.setEvacuated(ctx, zone, true)
}

// Restore removes the request to evacuate a zone.
func (p *Publisher) Restore(ctx context.Context, zone string) error {
	return p.setEvacuated(ctx, zone, false)
}

func (p *Publisher) setEvacuated(ctx context.Context, zone string, evacuated bool) error {
	err := p.publish(ctx, func(s topicState) (topic.Record, error) {
		record := p.Codec.EncodeEvacuation(zone, !evacuated)
		if (s.values[record.Key] != nil) == evacuated {
			return record, errNoChange
		}
		return record, nil
	})
	if errors.Is(err, errNoChange) {
		return nil
	}
	return err
}

// publish appends the record that makeRecord returns for the current state, and retries if another append came first.
func (p *Publisher) publish(ctx context.Context, makeRecord func(topicState) (topic.Record, error)) error {
	for range maxAppendAttempts {
		state, err := p.readTopic(ctx)
		if err != nil {
			return err
		}
		record, err := makeRecord(state)
		if err != nil {
			return err
		}
		_, _, err = p.Store.Append(ctx, p.Codec.OperatorTopic(),
			topic.Batch{Records: []topic.Record{record}, ExpectedEnd: &state.end})
		switch {
		case err == nil:
			return nil
		case errors.Is(err, topic.ErrOffsetMismatch):
			continue
		case errors.Is(err, topic.ErrNotApplied), errors.Is(err, topic.ErrReadOnly):
			return err
		}
		if current, readErr := p.readTopic(ctx); readErr == nil && bytes.Equal(current.values[record.Key], record.Value) {
			return nil // the append was applied, only its response was lost
		}
		return errors.Annotate(ErrOutcomeUnknown, err.Error())
	}
	return errors.Annotate(topic.ErrNotApplied, "others kept writing")
}
