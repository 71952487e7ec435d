package settings

import (
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/sebdah/goldie/v2"
)

// Guards against validation that stops at the first problem, misses a place or accepts unknown fields.
func TestFindingsAreReportedTogether(t *testing.T) {
	for _, name := range []string{"shape", "values"} {
		t.Run(name, func(t *testing.T) {
			_, err := Load(filepath.Join("testdata", name+".json"))
			if err == nil {
				t.Fatal("invalid settings were accepted")
			}
			goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// Guards against example settings that are invalid or omit a section.
func TestExamplesAreValid(t *testing.T) {
	for _, deployment := range []string{"cruite-rounds", "snra"} {
		s, err := Load(filepath.Join("..", "..", "examples", deployment, "settings.json"))
		if err != nil {
			t.Errorf("%s: %v", deployment, err)
			continue
		}
		if s.API == nil || len(s.Operators) == 0 || len(s.Objectives) == 0 {
			t.Errorf("%s omits a section: %+v", deployment, s)
		}
	}
}

// Guards against requiring own settings: without a file the API is disabled and the log level is Info.
func TestNoSettings(t *testing.T) {
	s, err := Load("")
	if err != nil || s.API != nil || s.LogLevel() != hclog.Info {
		t.Errorf("%+v, %v", s, err)
	}
}
