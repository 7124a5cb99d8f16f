// Package harness starts a fleet of real processes on loopback for tests:
// agents and entries from freshly built binaries, with stand-ins for the
// platform and the endpoints in the test's own process, and puts
// fault-injecting proxies between them.
//
//	func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }
//
//	func TestOrders(t *testing.T) {
//		fleet := harness.Start(t, harness.Config{
//			Pools:      map[string]int{"workshop-orders": 2},
//			ProxyPeers: true,
//		})
//		reply := fleet.Send(t.Context(), 0, harness.Call{
//			Pipeline: "workshop-orders", Input: harness.Order("a-1"), Key: harness.NewKey(),
//		})
//		assert.Equal(t, reply.Outcome(), api.OutcomeAnswered)
//		assert.Equal(t, fleet.Runs("a-1"), 1)
//
//		fleet.Link("entry-1", "workshop-orders-1").Cut()
//		fleet.Agent("workshop-orders-2").Stop() // SIGSTOP
//		fleet.Endpoint("workshop-orders-1").Apply(fake.Control{Crash: true})
//	}
//
// Names: entries are entry-1, entry-2 and so on, which are also the names of
// their VMs; endpoints are POOL-1 and so on, each with an agent of the same name
// on the VM vm-ENDPOINT. All processes are ended at the end of the test. The test
// fails if a process reports a data race, panics or does not exit cleanly.
package harness
