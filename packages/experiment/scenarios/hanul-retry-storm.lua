-- The deep service is slow for 5 s and callers send each request up to ten times; goodput must recover within 2 s.
rank("certify", { worth = 100, floor = 0.2, deadline = 0.5 })
rank("order",   { worth = 10,  floor = 0.2, deadline = 0.5 })
rank("browse",  { worth = 1,   floor = 0.1, deadline = 1 })

link { caller = 1, far = 5, loss = 0.01 }
service("orders", 20)
service("catalogue", 10)
service("lathe", 20)
serve("orders",    { upstreams = 5, slots = 50, connections = 400, centres = { "a", "b", "c", "d" } })
serve("catalogue", { upstreams = 4, slots = 50, connections = 400, centres = { "a", "b", "c", "d" } })
serve("lathe",     { upstreams = 4, slots = 15, connections = 200, centres = { "a", "b", "c", "d" } })
call("orders", "catalogue")
call("catalogue", "lathe")

demand("certify", "orders", 0.1, { tries = 10, pause = 20 })
demand("order",   "orders", 0.3, { tries = 10, pause = 20 })
demand("browse",  "orders", 0.4, { tries = 10, pause = 20 })
at(10, slow, "lathe", 10, 5)

run { seconds = 25, measure_from = 4, overload_from = 10, overload_until = 15 }
expect { recovery = 2, wasted = 0.02, retries = 0.1 }
