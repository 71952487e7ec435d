// Package operate publishes what operators decide: configurations and waves. Every instance follows their topic.
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

// Errors of a Publisher, besides finding.List and VersionError.
const (
	// ErrNoConfig means that no configuration has been published yet.
	ErrNoConfig = errors.ConstError("no configuration has been published")
	// ErrWaveExists means that another wave has the number.
	ErrWaveExists = errors.ConstError("a wave with this number exists")
	// ErrOutcomeUnknown means that the record may have been published, or may still be.
	ErrOutcomeUnknown = errors.ConstError("it is not known whether the record was published")
)

// VersionError means that the configuration has another version than the patch was made for.
type VersionError struct{ Current int64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("the configuration has version %d", e.Current)
}

// Format of a patch.
type Format string

// The formats of patches.
const (
	MergePatch Format = "merge"      // RFC 7396
	JSONPatch  Format = "json-patch" // RFC 6902
)

const (
	// MaxDocumentBytes bounds a configuration: the largest record of the known stores.
	MaxDocumentBytes = 256 << 10
	// attempts bounds how often an append that lost a race against another operator is prepared anew.
	attempts = 5
)

// Publisher reads and writes the operators' topic. Its appends are conditional on its end, so that two operators never
// overwrite each other.
type Publisher struct {
	Store topic.Store
	Codec directory.Codec
}

// Document is a published configuration in the format of the platform.
type Document struct {
	Version int64
	JSON    json.RawMessage
}

// state is the operators' topic at one time.
type state struct {
	config Document
	keys   map[string][]byte
	end    int64
}

func (p *Publisher) read(ctx context.Context) (state, error) {
	records, end, err := topic.ReadSnapshot(ctx, p.Store, p.Codec.OperatorTopic())
	if err != nil {
		return state{}, errors.Annotate(err, "reading the operators' records")
	}
	s := state{keys: map[string][]byte{}, end: end}
	for _, r := range records {
		s.keys[r.Key] = r.Value
		if r.Key != p.Codec.ConfigKey() {
			continue
		}
		decoded, err := p.Codec.DecodeOperator(r)
		if err != nil {
			return state{}, err
		}
		if decoded.Catalog != nil {
			s.config = Document{Version: decoded.Catalog.Version, JSON: r.Value}
		}
	}
	return s, nil
}

// Config returns the newest configuration.
func (p *Publisher) Config(ctx context.Context) (Document, error) {
	s, err := p.read(ctx)
	if err == nil && s.config.JSON == nil {
		err = ErrNoConfig
	}
	return s.config, err
}

// Patch publishes the next version of the configuration if the current one has the given version. A finding.List error
// names everything that is wrong with the patched document.
func (p *Publisher) Patch(ctx context.Context, version int64, format Format, patch []byte) (Document, error) {
	var next Document
	err := p.publish(ctx, func(s state) (topic.Record, error) {
		if s.config.Version != version {
			return topic.Record{}, &VersionError{s.config.Version}
		}
		data, err := p.patched(s.config, format, patch)
		next = Document{version + 1, data}
		return topic.Record{Key: p.Codec.ConfigKey(), Value: data}, err
	})
	return next, err
}

// patched applies a patch and checks the result.
func (p *Publisher) patched(current Document, format Format, patch []byte) ([]byte, error) {
	document := []byte(current.JSON)
	if document == nil {
		document = []byte("{}")
	}
	data, err := apply(format, document, patch)
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

func apply(format Format, document, patch []byte) ([]byte, error) {
	if format == MergePatch {
		return jsonpatch.MergePatch(document, patch)
	}
	operations, err := jsonpatch.DecodePatch(patch)
	if err != nil {
		return nil, err
	}
	options := jsonpatch.NewApplyOptions()
	options.AccumulatedCopySizeLimit = MaxDocumentBytes // a few copy operations could double the document each
	return operations.ApplyWithOptions(document, options)
}

// StartWave publishes a wave under a number that no other wave has.
func (p *Publisher) StartWave(ctx context.Context, wave *instances.Wave) error {
	return p.publish(ctx, func(s state) (topic.Record, error) {
		record, err := p.Codec.EncodeWave(wave)
		if _, exists := s.keys[record.Key]; exists && err == nil {
			err = ErrWaveExists
		}
		return record, err
	})
}

// publish appends the record that prepare makes of the present state, unless somebody else has written meanwhile.
func (p *Publisher) publish(ctx context.Context, prepare func(state) (topic.Record, error)) error {
	for range attempts {
		s, err := p.read(ctx)
		if err != nil {
			return err
		}
		record, err := prepare(s)
		if err != nil {
			return err
		}
		_, _, err = p.Store.Append(ctx, p.Codec.OperatorTopic(), topic.Batch{Records: []topic.Record{record}, ExpectedEnd: &s.end})
		switch {
		case err == nil:
			return nil
		case errors.Is(err, topic.ErrOffsetMismatch):
			continue
		case errors.Is(err, topic.ErrNotApplied):
			return err
		}
		if now, readErr := p.read(ctx); readErr == nil && bytes.Equal(now.keys[record.Key], record.Value) {
			return nil // it was carried out, its answer was lost
		}
		return errors.Annotate(ErrOutcomeUnknown, err.Error())
	}
	return errors.Annotate(topic.ErrNotApplied, "others kept writing")
}
