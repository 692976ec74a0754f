package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// leaseTime is leaseMs of the settings.
	leaseTime = 3 * time.Second
	// drillTime is how long the store is away, copyAge the age of the copy from which it comes back.
	drillTime, copyAge = 200 * time.Millisecond, 2 * time.Second
	// lateOrder is the time after which the order that got no answer is carried out.
	lateOrder = 4 * time.Second
)

// caseHolders lets the store come back from an older copy right after the first order to an engine, which gets no
// answer. With TROUBLE=drill the order is answered, with TROUBLE=late the store stays.
func caseHolders(s *site) int {
	engine := func(id, phase string) {
		args := []string{"engine", "--id", id, "--address", s.freeAddress("127.0.0.1"), "--phase", phase, "--store", s.store}
		if s.trouble && s.variant != "drill" {
			args = append(args, "--late-orders", lateOrder.String())
		}
		s.start(nil, args...)
	}
	for i := range 5 {
		engine(fmt.Sprintf("i-d%d", i+1), "decode")
	}
	engine("i-p1", "prefill")
	s.configure(7)
	s.startVMs(2)
	time.Sleep(leadTime)
	if early := len(s.find("order")); early > 0 {
		panic("there were orders before the imbalance")
	}
	writeLine("an engine is added", map[string]any{"engine": "i-p2"})
	engine("i-p2", "prefill")
	s.await("the first order", func() bool { return len(s.find("order")) > 0 })
	if s.trouble && s.variant != "late" {
		s.drill()
	}
	time.Sleep(12 * time.Second)
	last := map[any]map[string]any{}
	result := ruleHeld
	for _, order := range s.find("order") {
		before := last[order["engine"]]
		last[order["engine"]] = order
		if before == nil {
			continue
		}
		gap := order["received"].(time.Time).Sub(before["received"].(time.Time))
		if order["holder"] != before["holder"] && gap < leaseTime {
			writeLine("two holders took turns within leaseMs", map[string]any{
				"engine": order["engine"], "gap_ms": gap.Milliseconds(), "holders": []any{before["holder"], order["holder"]},
				"fences": []any{before["fence"], order["fence"]},
			})
			result = ruleBroken
		}
		if order["holder"] != before["holder"] && order["fence"].(float64) <= before["fence"].(float64) {
			writeLine("two holders with one fencing token, or a lower one after a higher one", map[string]any{"engine": order["engine"]})
			result = ruleBroken
		}
	}
	return result
}

// drill lets the store be away for a moment and come back from an older copy.
func (s *site) drill() {
	set := func(query string) {
		response, err := http.Post("http://"+s.store+"/standin/away?"+query, "", nil)
		if err != nil {
			panic(err)
		}
		_ = response.Body.Close()
	}
	set("away=1")
	writeLine("the store is away", map[string]any{})
	time.Sleep(drillTime)
	set(fmt.Sprintf("away=0&copyMs=%d", copyAge.Milliseconds()))
	writeLine("the store is back from an older copy", map[string]any{"age_ms": copyAge.Milliseconds()})
}
