package loader

import (
	"bytes"
	"fmt"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/cottonlanding/cottonlanding"
)

// evacuatedField is the operators' file's list of evacuated data centres.
const evacuatedField = "Evacuated"

// yamlIndent is the indentation of files that are written anew, in spaces.
const yamlIndent = 2

// Evacuate returns an operators' file in which a data centre is evacuated, or is not; comments
// and all else stay.
func Evacuate(file string, text []byte, dataCentre cottonlanding.DataCentre, evacuated bool) ([]byte, error) {
	configuration, err := ParseConfiguration(file, text)
	if err != nil {
		return nil, err
	}
	if configuration.Evacuates(dataCentre) == evacuated {
		return text, nil
	}
	next := slices.DeleteFunc(configuration.Evacuated, func(other cottonlanding.DataCentre) bool { return other == dataCentre })
	if evacuated {
		next = append(next, dataCentre)
	}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	if err := setList(root.Content[0], next); err != nil {
		return nil, fmt.Errorf("change %s: %w", file, err)
	}
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(&root); err != nil {
		return nil, fmt.Errorf("write %s: %w", file, err)
	}
	_, err = ParseConfiguration(file, out.Bytes())
	return out.Bytes(), err
}

// setList puts the list of evacuated data centres into a document, or takes an empty one out.
func setList(document *yaml.Node, list []cottonlanding.DataCentre) error {
	var value yaml.Node
	if err := value.Encode(list); err != nil {
		return err
	}
	for at := 0; at < len(document.Content); at += 2 {
		if document.Content[at].Value != evacuatedField {
			continue
		}
		if len(list) == 0 {
			document.Content = slices.Delete(document.Content, at, at+2)
			return nil
		}
		document.Content[at+1] = &value
		return nil
	}
	document.Content = append(document.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: evacuatedField}, &value)
	return nil
}
