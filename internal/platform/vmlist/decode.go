package vmlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// maxProblemBytes bounds what is kept of why an entry cannot be used.
const maxProblemBytes = 256

var (
	errNoObject = errors.New("the response is no object")
	errNoList   = errors.New("the response has no list of VMs")
	errNoName   = errors.New("it has no name")
	errNoPort   = errors.New("its address has no port")
)

// decodeList decodes a response. An entry that cannot be used is left out. The response is read token by token, since
// encoding/json refuses a whole text if one value in it is nested too deeply.
func decodeList(text []byte) (List, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	// A number that is too large is an error of its entry only.
	decoder.UseNumber()
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return List{}, errors.Join(errNoObject, err)
	}
	var list List
	complete := false
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return List{}, err
		}
		switch name {
		case "vms":
			complete = true
			err = list.decodeVMs(decoder, text)
		case "time_ms":
			err = list.decodeTime(decoder, text)
		default:
			_, err = nextValue(decoder, text)
		}
		if err != nil {
			return List{}, fmt.Errorf("%v: %w", name, err)
		}
	}
	if _, err := decoder.Token(); err != nil {
		return List{}, err
	}
	if !complete {
		return List{}, errNoList
	}
	return list, nil
}

// nextValue skips a value and returns its text, with what separates it from the value before.
func nextValue(decoder *json.Decoder, text []byte) ([]byte, error) {
	start := decoder.InputOffset()
	for depth := 0; ; {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			return bytes.TrimLeft(text[start:decoder.InputOffset()], " \t\r\n,:"), nil
		}
	}
}

func (l *List) decodeTime(decoder *json.Decoder, text []byte) error {
	raw, err := nextValue(decoder, text)
	if err != nil {
		return err
	}
	var ms int64
	if err := json.Unmarshal(raw, &ms); err != nil {
		return err
	}
	l.Time = time.UnixMilli(ms)
	return nil
}

func (l *List) decodeVMs(decoder *json.Decoder, text []byte) error {
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		return errors.Join(errNoList, err)
	}
	for i := 0; decoder.More(); i++ {
		raw, err := nextValue(decoder, text)
		if err != nil {
			return err
		}
		vm, err := decodeVM(raw)
		if err != nil {
			problem := fmt.Sprintf("vms[%d] %q: %v", i, vm.Name, err)
			l.Unusable = append(l.Unusable, strings.ToValidUTF8(problem[:min(len(problem), maxProblemBytes)], ""))
			continue
		}
		l.VMs = append(l.VMs, vm)
	}
	_, err := decoder.Token()
	return err
}

// decodeVM decodes one entry. The error is why it cannot be used; the entry then has what could be decoded.
func decodeVM(raw []byte) (VM, error) {
	var vm VM
	if err := json.Unmarshal(raw, &vm); err != nil {
		return vm, err
	}
	if vm.Name == "" {
		return vm, errNoName
	}
	if vm.Address == "" {
		return vm, nil
	}
	address, err := netip.ParseAddrPort(vm.Address)
	if err != nil {
		return vm, err
	}
	if address.Port() == 0 {
		return vm, errNoPort
	}
	return vm, nil
}
