package peer_test

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/api/nodestatus"
	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/mirror"
	"github.com/hatchplank/hatchplank/internal/orders"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/serverpath"
	"github.com/hatchplank/hatchplank/internal/streamorigin"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

var update = flag.Bool("update", false, "add the encodings of messages that are not kept yet")

// keptFile holds an encoding of each message by its name on the wire. Kept encodings stand
// for what other builds send, and are not replaced when a Go type is renamed.
const keptFile = "testdata/wirenames.json"

const membershipPath = "github.com/hatchplank/hatchplank/internal/membership."

// prototypes are all messages by their names on the wire.
var prototypes = map[string]peer.Message{
	"claims.Acknowledgement":     claims.Acknowledgement{},
	"claims.InstallRequest":      claims.InstallRequest{},
	"claims.RecordRequest":       claims.RecordRequest{},
	"claims.ReleaseRequest":      claims.ReleaseRequest{},
	"claims.SealReply":           claims.SealReply{},
	"claims.SealRequest":         claims.SealRequest{},
	"claims.UnsealRequest":       claims.UnsealRequest{},
	"claims.VoteReply":           claims.VoteReply{},
	"claims.VoteRequest":         claims.VoteRequest{},
	"directory.DemandReport":     directory.DemandReport{},
	"directory.EndpointUpdate":   directory.EndpointUpdate{},
	"mirror.NotRelay":            mirror.NotRelay{},
	"mirror.Redirect":            mirror.Redirect{},
	"mirror.Subscribe":           mirror.Subscribe{},
	"mirror.Update":              mirror.Update{},
	"nodestatus.PartReply":       nodestatus.PartReply{},
	"nodestatus.PartRequest":     nodestatus.PartRequest{},
	"orders.DemandReport":        orders.DemandReport{},
	"orders.NotHolder":           orders.NotHolder{},
	"orders.Update":              orders.Update{},
	"poison.Entries":             poison.Entries{},
	"poison.Quarantined":         poison.Quarantined{},
	"poison.Released":            poison.Released{},
	"poison.Report":              poison.Report{},
	"poison.TrialEnded":          poison.TrialEnded{},
	"poison.TrialReply":          poison.TrialReply{},
	"poison.TrialRequest":        poison.TrialRequest{},
	"serverpath.OpenReply":       serverpath.OpenReply{},
	"serverpath.OpenRequest":     serverpath.OpenRequest{},
	"streamorigin.Began":         streamorigin.Began{},
	"streamorigin.Lookup":        streamorigin.Lookup{},
	"streamorigin.LookupReply":   streamorigin.LookupReply{},
	"tablestore.PullReply":       tablestore.PullReply{},
	"tablestore.PullRequest":     tablestore.PullRequest{},
	"tablestore.PushMessage":     tablestore.PushMessage{},
	"tablestore.RevisionReply":   tablestore.RevisionReply{},
	"tablestore.RevisionRequest": tablestore.RevisionRequest{},
	"tenants.Answer":             ratelimit.TakeReply{},
	"tenants.Ask":                ratelimit.TakeRequest{},
	"tenants.GiveBack":           ratelimit.ReturnMessage{},

	membershipPath + "IndirectProbeMessage": membership.IndirectProbeMessage{},
	membershipPath + "ProbeMessage":         membership.ProbeMessage{},
	membershipPath + "ProbeReply":           membership.ProbeReply{},
}

// TestWireNames compares each message with its kept encoding: name, field names and values.
// The bytes as a whole aren't compared. Gob writes the Go type's name and a number for it
// as well, and receivers match types by neither.
func TestWireNames(t *testing.T) {
	g := NewWithT(t)
	kept := map[string][]byte{}
	if content, err := os.ReadFile(keptFile); !*update || !os.IsNotExist(err) {
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(json.Unmarshal(content, &kept)).To(Succeed())
	}
	for _, name := range slices.Sorted(maps.Keys(prototypes)) {
		message := filled(prototypes[name])
		var encoded bytes.Buffer
		g.Expect(gob.NewEncoder(&encoded).Encode(&message)).To(Succeed())
		if *update && kept[name] == nil {
			kept[name] = encoded.Bytes()
		}
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(kept).To(HaveKey(name))
			var decoded peer.Message
			g.Expect(gob.NewDecoder(bytes.NewReader(kept[name])).Decode(&decoded)).To(Succeed())
			g.Expect(decoded).To(Equal(message))

			wireName, fields := described(g, encoded.Bytes())
			keptName, keptFields := described(g, kept[name])
			g.Expect(keptName).To(Equal(name))
			g.Expect(wireName).To(Equal(name))
			g.Expect(fields).To(Equal(keptFields))
		})
	}
	if *update {
		content, err := json.MarshalIndent(kept, "", "  ")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(keptFile, append(content, '\n'), 0o644)).To(Succeed())
	}
	g.Expect(kept).To(HaveLen(len(prototypes)))
}

// earlierFile holds encodings of builds whose messages had fewer fields.
const earlierFile = "testdata/earlier.json"

// Guards against a new field without which a message of an earlier build is not understood: it is
// the zero value, and the others keep theirs.
func TestMessagesOfEarlierBuilds(t *testing.T) {
	g := NewWithT(t)
	released := filled(poison.Released{}).(poison.Released)
	released.Ends = nil
	subscription := filled(mirror.Subscribe{}).(mirror.Subscribe)
	subscription.Unpacks = false
	withoutPreempted := filled(mirror.Update{}, "Preempted").(mirror.Update)
	withoutOddFields := filled(mirror.Update{}, "Preempted", "Undecoded", "Held").(mirror.Update)
	withoutRejected := withoutOddFields
	withoutRejected.Rejected = nil
	unversioned := filled(mirror.Update{}, "SoftwareVersion", "Preempted", "Undecoded", "Held").(mirror.Update)
	unversioned.Rejected = nil
	unpacked := unversioned
	unpacked.Packed = nil
	confirmed := unpacked
	confirmed.Confirmation = mirror.Confirmation{}
	reportWithoutModels := filled(orders.DemandReport{}).(orders.DemandReport)
	reportWithoutModels.ReachesModelServers = false
	reportWithoutPaths := reportWithoutModels
	reportWithoutPaths.CarriesConnections, reportWithoutPaths.PathsLost = false, false
	updateWithoutReporting := filled(orders.Update{}).(orders.Update)
	updateWithoutReporting.Reporting = 0
	updateWithoutPaths := updateWithoutReporting
	updateWithoutPaths.Carriers = nil
	report := reportWithoutPaths
	report.Observations, report.PoolArrivals = nil, nil
	update := updateWithoutPaths
	update.HolderToken, update.Observations, update.Rates = 0, nil, nil
	answerWithoutList := filled(ratelimit.TakeReply{}).(ratelimit.TakeReply)
	answerWithoutList.List, answerWithoutList.Counters = ratelimit.ListVersion{}, ratelimit.Counters{}
	answer := answerWithoutList
	answer.Voted = false
	askWithoutTimeLeft := filled(ratelimit.TakeRequest{}, "TimeLeft").(ratelimit.TakeRequest)
	askWithoutList := askWithoutTimeLeft
	askWithoutList.List = ratelimit.ListVersion{}
	giveBack := filled(ratelimit.ReturnMessage{}).(ratelimit.ReturnMessage)
	giveBack.Vote = 0
	crashes := filled(poison.Report{}).(poison.Report)
	crashes.Ends[0].Parts, crashes.Ends[0].Trials = nil, nil
	quarantined := filled(poison.Quarantined{}).(poison.Quarantined)
	quarantined.ServedBefore = false
	unservedQuarantined := quarantined
	quarantined.RefusedFor = 0
	entries, unservedEntries := filled(poison.Entries{}).(poison.Entries), filled(poison.Entries{}).(poison.Entries)
	unservedEntries.Entries[0].ServedBefore = false
	entries.Entries[0].RefusedFor, entries.Entries[0].ServedBefore = 0, false
	trialOfOne := filled(poison.TrialRequest{}).(poison.TrialRequest)
	trialOfOne.Quarantined = nil
	trial := trialOfOne
	trial.Trial = 0
	trialEnd := filled(poison.TrialEnded{}).(poison.TrialEnded)
	trialEnd.Trial = 0
	lookupReply := filled(streamorigin.LookupReply{}).(streamorigin.LookupReply)
	lookupReply.Versions, lookupReply.Complete = nil, false
	expected := map[string]peer.Message{
		"poison.TrialRequest": trial, "poison.TrialEnded": trialEnd, "poison.Report": crashes, "poison.Quarantined": quarantined, "poison.Entries": entries,
		"poison.TrialRequest without quarantined":  trialOfOne,
		"poison.Quarantined without served before": unservedQuarantined, "poison.Entries without served before": unservedEntries,
		"mirror.Subscribe": subscription, "mirror.Update without packing": unpacked, "mirror.Update without software versions": unversioned,
		"mirror.Update without rejected records": withoutRejected, "mirror.Update without odd fields": withoutOddFields,
		"mirror.Update without preempted": withoutPreempted,
		"mirror.Update":                   confirmed, "poison.Released": released, "orders.DemandReport": report, "orders.Update": update,
		"orders.DemandReport without model servers": reportWithoutModels,
		"orders.DemandReport without paths":         reportWithoutPaths, "orders.Update without paths": updateWithoutPaths,
		"orders.Update without reporting": updateWithoutReporting,
		"streamorigin.LookupReply":        lookupReply,
		"tenants.Answer":                  answer, "tenants.GiveBack": giveBack,
		"tenants.Answer without list": answerWithoutList, "tenants.Ask without list": askWithoutList,
		"tenants.Ask without time left": askWithoutTimeLeft,
		"tenants.Ask": ratelimit.TakeRequest{
			Tenant: "text 2", Limit: ratelimit.Limit{Rate: 4.5, Burst: 5.5, Window: 6, Paced: true}, Cost: 8.5, Rank: 9.5, MaxWait: 10,
			Silent: true, Relayed: true, Heard: ratelimit.Count{Known: true, Level: 15.5, Used: 16.5, Age: 17},
		},
	}
	earlier := map[string][]byte{}
	content, err := os.ReadFile(earlierFile)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(json.Unmarshal(content, &earlier)).To(Succeed())
	for name, encoded := range earlier {
		var decoded peer.Message
		g.Expect(gob.NewDecoder(bytes.NewReader(encoded)).Decode(&decoded)).To(Succeed())
		g.Expect(decoded).To(Equal(expected[name]), name)
	}
	g.Expect(earlier).To(HaveLen(len(expected)))
}

// filled returns a message like the prototype whose exported fields, and those of nested
// structs, aren't zero, except those with the given names.
func filled(prototype peer.Message, without ...string) peer.Message {
	value := reflect.New(reflect.TypeOf(prototype)).Elem()
	number := 0
	fill(value, &number, without)
	return value.Interface()
}

// fill sets a value from a number that it increases with each field that it sets.
func fill(value reflect.Value, number *int, without []string) {
	*number++
	if value.Type() == reflect.TypeFor[time.Time]() {
		value.Set(reflect.ValueOf(time.Unix(int64(*number), 0).UTC()))
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*number))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*number))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(*number) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprint("text ", *number))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), number, without)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), number, without)
	case reflect.Array:
		for i := range value.Len() {
			fill(value.Index(i), number, without)
		}
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, number, without)
		fill(element, number, without)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Field(i).CanSet() && !slices.Contains(without, value.Type().Field(i).Name) {
				fill(value.Field(i), number, without)
			}
		}
	default:
		panic("no value for " + value.Type().String())
	}
}

// typeDescriptor is shaped as gob describes types. Fields are left out only where gob can
// skip them, which it can't where its own types are structs.
type (
	typeCommon     struct{ CommonType struct{ Name string } }
	typeDescriptor struct {
		ArrayT, SliceT, MapT                          *typeCommon
		GobEncoderT, BinaryMarshalerT, TextMarshalerT *typeCommon
		StructT                                       *struct {
			CommonType struct{ Name string }
			Field      []struct{ Name string }
		}
	}
)

// described returns the name of the message in an encoding, and the field names of each
// struct type that it describes, both in order of the alphabet.
func described(g Gomega, encoded []byte) (name string, fields []string) {
	for first := true; len(encoded) > 0; first = false {
		size, rest := gobNumber(encoded)
		body := rest[:size]
		encoded = rest[size:]
		if first {
			// An encoding starts with the type id of interfaces, 8, a zero byte and the name.
			g.Expect(body[:2]).To(Equal([]byte{2 * 8, 0}))
			length, text := gobNumber(body[2:])
			name, body = string(text[:length]), text[length:]
		}
		// An odd number is a negative type id, which a type's description follows.
		id, description := gobNumber(body)
		if id%2 == 0 {
			continue
		}
		// As a value of gob's type 16, the type of descriptions, it can be decoded.
		frame := binary.BigEndian.AppendUint16([]byte{0xFE}, uint16(len(description)+1))
		frame = append(append(frame, 2*16), description...)
		var descriptor typeDescriptor
		g.Expect(gob.NewDecoder(bytes.NewReader(frame)).Decode(&descriptor)).To(Succeed())
		if descriptor.StructT == nil {
			continue
		}
		var names []string
		for _, field := range descriptor.StructT.Field {
			names = append(names, field.Name)
		}
		slices.Sort(names)
		fields = append(fields, strings.Join(names, " "))
	}
	slices.Sort(fields)
	return name, fields
}

// gobNumber reads an unsigned number as gob writes it: itself if it is below 128, else its
// negated size in bytes and the bytes.
func gobNumber(encoded []byte) (number int, rest []byte) {
	if encoded[0] < 0x80 {
		return int(encoded[0]), encoded[1:]
	}
	size := -int(int8(encoded[0]))
	for _, digit := range encoded[1 : 1+size] {
		number = number<<8 | int(digit)
	}
	return number, encoded[1+size:]
}
