package protocol

import (
	"encoding/json"
	"fmt"
	"path"
	"strings"
	"unicode/utf8"

	"silvergate/internal/job"
)

// Limits of the extension fields of a submission.
const (
	maxArguments    = 256
	maxVariables    = 256
	maxInputs       = 32
	maxKeepPatterns = 32
	maxCustomer     = 100      // bytes
	maxArgument     = 16 << 10 // bytes; also limits a variable's value
	maxQuotedInText = 40       // bytes of a user's text quoted in an error
)

// ReservedEnv is the prefix of environment variables that only silvergate sets.
const ReservedEnv = "SILVERGATE_"

// ParseExtra reads and checks the extension fields of a submission: command,
// env, customer, keep and inputs. It returns nil when there are none. The error is a
// *FieldError for the first bad field, or wraps the error of encoding/json.
func ParseExtra(body []byte) (*job.Extra, error) {
	extra, err := decodeExtra(body)
	if err != nil {
		return nil, err
	}
	// The order decides which of several bad fields a user is told about.
	for _, check := range []func(*job.Extra) error{checkCommand, checkEnv, checkCustomer, checkKeep, checkInputs} {
		if err := check(extra); err != nil {
			return nil, err
		}
	}
	if extra.Empty() {
		return nil, nil
	}
	return extra, nil
}

// decodeExtra reads the extension fields. Texts that are absent or null become empty,
// and the checks of required fields refuse empty texts.
//
// encoding/json puts the Go names of types and fields into its errors, which users see.
// So the struct types here have no names, and the names of the fields must not change.
// Texts are decoded into pointers so that, in a field that occurs twice, null undoes the
// earlier value.
func decodeExtra(body []byte) (*job.Extra, error) {
	var fields struct {
		Command  []string          `json:"command"`
		Env      map[string]string `json:"env"`
		Customer *string           `json:"customer"`
		Keep     []string          `json:"keep"`
		Inputs   []struct {
			Set     *string `json:"set"`
			Version *string `json:"version"`
			Place   *string `json:"place"`
		} `json:"inputs"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, invalidSubmission(err)
	}
	extra := &job.Extra{Command: fields.Command, Env: fields.Env, Customer: textOrEmpty(fields.Customer), Keep: fields.Keep}
	for _, input := range fields.Inputs {
		extra.Inputs = append(extra.Inputs, job.Input{
			Set:     textOrEmpty(input.Set),
			Version: textOrEmpty(input.Version),
			Path:    textOrEmpty(input.Place),
		})
	}
	return extra, nil
}

func textOrEmpty(text *string) string {
	if text == nil {
		return ""
	}
	return *text
}

func checkCommand(extra *job.Extra) error {
	if len(extra.Command) > maxArguments {
		return badField("command", "more than %d arguments", maxArguments)
	}
	for i, argument := range extra.Command {
		if textProblem(argument) != "" || i == 0 && argument == "" {
			return badField(fmt.Sprintf("command[%d]", i), "empty, too long or not text")
		}
	}
	return nil
}

func checkEnv(extra *job.Extra) error {
	if len(extra.Env) > maxVariables {
		return badField("env", "more than %d variables", maxVariables)
	}
	for name, value := range extra.Env {
		if !validVariableName(name) || strings.HasPrefix(name, ReservedEnv) {
			field := fmt.Sprintf("env.%.*q", maxQuotedInText, name)
			return badField(field, "not the name of a variable, or one that silvergate sets")
		}
		if problem := textProblem(value); problem != "" {
			return &FieldError{Field: "env." + name, Problem: problem}
		}
	}
	return nil
}

func checkCustomer(extra *job.Extra) error {
	if extra.Customer == "" {
		return nil
	}
	if !ValidName(extra.Customer) || len(extra.Customer) > maxCustomer {
		return badField("customer", "not a name of letters, digits, '-', '_' and '.'")
	}
	return nil
}

func checkKeep(extra *job.Extra) error {
	if len(extra.Keep) > maxKeepPatterns {
		return badField("keep", "more than %d patterns", maxKeepPatterns)
	}
	for i, pattern := range extra.Keep {
		if _, err := path.Match(pattern, "x"); err != nil || !ValidRelativePath(pattern) {
			return badField(fmt.Sprintf("keep[%d]", i), "not a pattern of files inside the working directory")
		}
	}
	return nil
}

func checkInputs(extra *job.Extra) error {
	if len(extra.Inputs) > maxInputs {
		return badField("inputs", "more than %d", maxInputs)
	}
	for i, input := range extra.Inputs {
		field := fmt.Sprintf("inputs[%d]", i)
		if err := checkInput(field, input); err != nil {
			return err
		}
		for _, earlier := range extra.Inputs[:i] {
			if pathsOverlap(earlier.Path, input.Path) {
				return badField(field+".place", "overlaps another input's")
			}
		}
	}
	return nil
}

func checkInput(field string, input job.Input) error {
	if !ValidName(input.Set) {
		return badField(field+".set", "missing or not a name of letters, digits, '-', '_' and '.'")
	}
	if !ValidName(input.Version) {
		return badField(field+".version", "missing or not a version")
	}
	if !ValidRelativePath(input.Path) {
		return badField(field+".place", "missing or not a path inside the working directory")
	}
	return nil
}

// pathsOverlap reports whether two clean paths are the same or one contains the other.
func pathsOverlap(a, b string) bool {
	return a == b || strings.HasPrefix(a, b+"/") || strings.HasPrefix(b, a+"/")
}

// textProblem returns why text cannot be an argument or a variable's value, or "" if it
// can.
func textProblem(text string) string {
	if len(text) > maxArgument {
		return fmt.Sprintf("longer than %d bytes", maxArgument)
	}
	if !utf8.ValidString(text) || strings.IndexByte(text, 0) >= 0 {
		return "not text"
	}
	return ""
}
