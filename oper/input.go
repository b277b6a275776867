package oper

import (
	"bytes"
	"encoding/json"
	"io"
	"os"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/strict"
	"github.com/pkg/errors"
)

// objectSchema describes an object in a file, for strict decoding.
type objectSchema struct {
	Kind     string    `json:"kind" required:"true"`
	Name     string    `json:"name" required:"true"`
	Revision uint64    `json:"revision"`
	Spec     anyObject `json:"spec" required:"true"`
}

// anyObject stands for any JSON object. The fields of a spec are checked later, by the
// parser of its kind.
type anyObject struct{}

// readObjects reads objects from files, where "-" is standard input. A file holds a
// sequence of JSON values, each of them an object or a list of objects.
func (a *App) readObjects(files []string) ([]cyclam.Object, error) {
	if len(files) == 0 {
		return nil, withExitCode(ExitUsage, errors.New("no file given, want -f FILE or -f - for standard input"))
	}
	var objects []cyclam.Object
	for _, file := range files {
		data, err := a.readInput(file)
		if err != nil {
			return nil, errors.Wrap(err, "read "+file)
		}
		more, err := decodeObjects(data)
		if err != nil {
			return nil, withExitCode(ExitRefused, errors.Wrap(err, file))
		}
		objects = append(objects, more...)
	}
	if len(objects) == 0 {
		return nil, withExitCode(ExitRefused, errors.New("the files contain no objects"))
	}
	return objects, nil
}

func (a *App) readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(a.In)
	}
	return os.ReadFile(file)
}

func decodeObjects(data []byte) ([]cyclam.Object, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	var objects []cyclam.Object
	for {
		var value json.RawMessage
		err := dec.Decode(&value)
		if err == io.EOF {
			return objects, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "malformed JSON near byte %d", dec.InputOffset())
		}
		more, err := decodeValue(value)
		if err != nil {
			return nil, err
		}
		objects = append(objects, more...)
	}
}

func decodeValue(value json.RawMessage) ([]cyclam.Object, error) {
	if value[0] != '[' {
		object, err := decodeObject(value)
		return []cyclam.Object{object}, err
	}
	var list []json.RawMessage
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, errors.Wrap(err, "malformed list")
	}
	var objects []cyclam.Object
	for _, item := range list {
		object, err := decodeObject(item)
		if err != nil {
			return nil, err
		}
		objects = append(objects, object)
	}
	return objects, nil
}

func decodeObject(value json.RawMessage) (cyclam.Object, error) {
	var schema objectSchema
	for _, fault := range strict.Decode(value, &schema) {
		if !bytes.HasPrefix([]byte(fault.Path), []byte("spec.")) {
			return cyclam.Object{}, errors.Errorf("%s/%s: %s: %s", schema.Kind, schema.Name, fault.Path, fault.Reason)
		}
	}
	var object cyclam.Object
	err := json.Unmarshal(value, &object)
	return object, errors.Wrap(err, "decode object")
}

// checkObjects parses each object and returns the resources and all problems,
// including duplicate keys.
func checkObjects(objects []cyclam.Object) ([]cyclam.Resource, []cyclam.Problem) {
	var resources []cyclam.Resource
	var problems []cyclam.Problem
	seen := map[cyclam.Key]bool{}
	for _, object := range objects {
		if seen[object.Key()] {
			problems = append(problems, cyclam.Problem{
				Object: object.Key().String(),
				Path:   "name",
				Reason: "is declared twice",
			})
		}
		seen[object.Key()] = true
		resource, faults := conf.Parse(object)
		problems = append(problems, faults...)
		if resource != nil {
			resources = append(resources, resource)
		}
	}
	return resources, problems
}
