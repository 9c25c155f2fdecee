package daemon

import (
	"net"
	"strings"
	"time"

	"samphirekeel.example/entry/config"
	"samphirekeel.example/entry/connection"
	"samphirekeel.example/keel/accept"
	"samphirekeel.example/keel/fault"
)

// listeners holds the open listeners of an entry.
type listeners struct {
	callers, operators, peers net.Listener
}

// CheckListen fails with kind Usage, and lists each setting whose address the entry cannot listen on now.
func CheckListen(addresses config.Listen) error {
	opened, err := listenAll(connection.Listen, addresses, func(string, error, time.Duration) {})
	if err != nil {
		return err
	}
	opened.close()
	return nil
}

// listenAll opens all listeners or none; its error lists every setting whose address cannot be listened on. onError is called with
// the errors of accept, which are retried.
func listenAll(listen func(string, connection.Queues) (net.Listener, error), addresses config.Listen, onError func(setting string, err error, delay time.Duration)) (*listeners, error) {
	opened := &listeners{}
	var problems []string
	for _, spec := range []struct {
		setting, address string
		queues           connection.Queues
		into             *net.Listener
	}{
		{"listen.callers", addresses.Callers, connection.ClientQueues, &opened.callers},
		{"listen.operators", addresses.Operators, connection.ClientQueues, &opened.operators},
		{"listen.peers", addresses.Peers, connection.PeerQueues, &opened.peers},
	} {
		listener, err := listen(spec.address, spec.queues)
		if err != nil {
			problems = append(problems, spec.setting+": "+err.Error())
			continue
		}
		*spec.into = accept.New(listener, func(err error, delay time.Duration) { onError(spec.setting, err, delay) })
	}
	if len(problems) > 0 {
		opened.close()
		return nil, fault.New(fault.Usage, "%s", strings.Join(problems, "\n  "))
	}
	return opened, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
