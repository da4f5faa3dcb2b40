package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// maxNameLength is the maximum length in bytes of names in the settings.
const maxNameLength = 100

var nameExpression = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	result := validator.New(validator.WithRequiredStructEnabled())
	result.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get(keyTag) })
	for tag, check := range map[string]validator.Func{"name": isNameField, "address": isAddressField} {
		if err := result.RegisterValidation(tag, check); err != nil {
			panic(err) // only if the tag or the function is empty
		}
	}
	return result
}

func isNameField(field validator.FieldLevel) bool {
	text := field.Field().String()
	return len(text) <= maxNameLength && nameExpression.MatchString(text)
}

// isAddressField accepts an IP address and a port.
func isAddressField(field validator.FieldLevel) bool {
	host, port, err := net.SplitHostPort(field.Field().String())
	if err != nil {
		return false
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// validate checks the rules of the validate tags and adds a problem for each
// violation.
func validate(target any, problems *problemList) {
	err := structValidator.Struct(target)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return
	}
	for _, fault := range faults {
		_, key, _ := strings.Cut(fault.Namespace(), ".")
		value := fault.Value()
		if fault.Kind() == reflect.Slice && fault.Tag() != "required" {
			value = fmt.Sprintf("%d entries", reflect.ValueOf(value).Len())
		}
		if fault.Tag() == "required" {
			value = nil
		}
		problems.add(key, value, allowedText(fault))
	}
}

// allowedText describes the values that a rule allows.
func allowedText(fault validator.FieldError) string {
	parameter := fault.Param()
	switch fault.Tag() {
	case "required":
		return "a value: the key is required"
	case "required_with":
		return "a value when " + strings.ToLower(parameter) + " has one"
	case "min", "max":
		return boundText(fault)
	case "gt":
		return "more than " + parameter
	case "oneof":
		return "one of " + strings.Join(strings.Fields(parameter), ", ")
	case "unique":
		return "entries that differ"
	case "name":
		return fmt.Sprintf("letters, digits, '.', '_' and '-', starting with a letter or digit, at most %d", maxNameLength)
	case "address":
		return `an IP number and a port, such as "127.0.0.1:8080"`
	case "http_url":
		return `a URL such as "http://127.0.0.1:2379"`
	case "sha256":
		return "64 hexadecimal digits in lower case"
	case "startswith":
		return "a value that starts with " + parameter
	case "printascii":
		return "printable ASCII characters"
	case "gtefield", "ltfield", "ltefield":
		return relationText[fault.Tag()] + keyOfField(parameter)
	default:
		return strings.TrimSpace(fault.Tag() + " " + parameter)
	}
}

var relationText = map[string]string{
	"gtefield": "at least the value of ",
	"ltfield":  "less than the value of ",
	"ltefield": "at most the value of ",
}

// boundText describes the values that a min or max rule allows.
func boundText(fault validator.FieldError) string {
	relation := map[string]string{"min": "at least ", "max": "at most "}[fault.Tag()]
	bound := fault.Param()
	switch {
	case fault.Type() == sizeType:
		bytes, _ := strconv.ParseInt(bound, 10, 64)
		return relation + Size(bytes).String()
	case fault.Kind() == reflect.String:
		return relation + bound + " characters"
	case fault.Kind() == reflect.Slice:
		return relation + bound + " in the list"
	default:
		return relation + bound
	}
}

// fieldKeys holds the keys of fields that are parameters of other fields' rules.
var fieldKeys = map[string]string{
	"BodyBytes":     "body",
	"Duration":      "duration",
	"Median":        "median",
	"QueuePerModel": "queue_per_model",
	"Default":       "default",
}

func keyOfField(field string) string {
	if key, known := fieldKeys[field]; known {
		return key
	}
	return field
}
