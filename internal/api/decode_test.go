package api

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"pgregory.net/rapid"
)

// FuzzDecodeGeneration checks that any body is either refused with an error code or has a
// model and a prompt.
func FuzzDecodeGeneration(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"m","prompt":["x"],"stream":true,"stream_options":{"include_usage":true}}`,
		`{"model":"m","prompt":[1,2],"n":1,"tools":[ ]}`, `{"prompt":`, `null`, `[]`, `"x"`, "\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, kind := range []generationKind{kindChat, kindCompletion} {
			decoded, refusal := decodeGeneration(kind, body)
			if refusal != nil {
				if status := refusal.Code.Status(); status < 400 {
					t.Fatalf("refused with status %d", status)
				}
				continue
			}
			prefix := decoded.affinityPrefix(kind)
			if decoded.Model == "" || len(prefix) == 0 || len(prefix) > affinityPrefixBytes {
				t.Fatalf("accepted %q with prefix %q", body, prefix)
			}
		}
	})
}

// TestAffinityPrefix checks which requests have the same prefix.
func TestAffinityPrefix(t *testing.T) {
	long := strings.Repeat("Read the dossier. ", 20)
	prefixOf := func(messages ...string) string {
		body := `{"model":"m","messages":[{"role":"system","content":"` + strings.Join(messages, `"},{"role":"user","content":"`) + `"}]}`
		decoded, refusal := decodeGeneration(kindChat, []byte(body))
		if refusal != nil {
			t.Fatal(refusal)
		}
		return string(decoded.affinityPrefix(kindChat))
	}
	for name, pair := range map[string]struct {
		a, b []string
		same bool
	}{
		"a long first message":              {[]string{long, "one"}, []string{long, "another"}, true},
		"a conversation that goes on":       {[]string{long, "one"}, []string{long, "one", "answer", "more"}, true},
		"another long first message":        {[]string{long, "one"}, []string{long + "!", "one"}, false},
		"a short first message":             {[]string{"Be kind.", "one"}, []string{"Be kind.", "another"}, false},
		"a first message beyond the length": {[]string{strings.Repeat(long, 4) + "a"}, []string{strings.Repeat(long, 4) + "b"}, true},
	} {
		if same := prefixOf(pair.a...) == prefixOf(pair.b...); same != pair.same {
			t.Errorf("%s: same prefix %v", name, same)
		}
	}
}

// FuzzCallOptions checks that any header value is either refused or within its bounds.
func FuzzCallOptions(f *testing.F) {
	f.Add("30s", "9", "key")
	f.Add("1e309", "-0", "\x00")
	f.Add("9223372036854775807", "9999999999999999999", "é")
	f.Fuzz(func(t *testing.T, timeLimit, priority, key string) {
		header := http.Header{headerTimeLimit: {timeLimit}, headerPriority: {priority}, headerIdempotencyKey: {key}}
		options, refusal := parseCallOptions(header, time.Minute, 0)
		if refusal != nil {
			return
		}
		if options.timeLimit <= 0 || options.timeLimit > time.Minute {
			t.Fatalf("time limit %q became %s", timeLimit, options.timeLimit)
		}
		if options.priority < minPriority || options.priority > maxPriority {
			t.Fatalf("priority %q became %d", priority, options.priority)
		}
		if len(options.key) > maxIdempotencyKeyLength {
			t.Fatalf("key of %d bytes", len(options.key))
		}
	})
}

// TestAppendQuoted compares the encoder with encoding/json.
func TestAppendQuoted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := string(rapid.SliceOf(rapid.Byte()).Draw(t, "text"))
		encoded := appendQuoted(nil, text)
		if !json.Valid(encoded) || !utf8.Valid(encoded) || bytes.ContainsAny(encoded, "\n\r") {
			t.Fatalf("%q became %q", text, encoded)
		}
		var got, want string
		reference, _ := json.Marshal(text)
		if json.Unmarshal(encoded, &got) != nil || json.Unmarshal(reference, &want) != nil || got != want {
			t.Fatalf("%q became %q, want %q", text, got, want)
		}
	})
}

func TestParseTimeLimit(t *testing.T) {
	for value, want := range map[string]time.Duration{"1.5": 1500 * time.Millisecond, "2m": 2 * time.Minute} {
		if got, valid := parseTimeLimit(value); !valid || got != want {
			t.Errorf("%q became %s", value, got)
		}
	}
	for _, value := range []string{"", "Inf", "-Inf", "NaN", "1e18", "5 s"} {
		if got, valid := parseTimeLimit(value); valid {
			t.Errorf("%q became %s", value, got)
		}
	}
	if got, _ := parseTimeLimit("1e9"); got < 0 || float64(got) > math.MaxInt64 {
		t.Errorf("1e9 became %s", got)
	}
}
