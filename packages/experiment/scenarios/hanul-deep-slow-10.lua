-- The deep service becomes 10 times slower; demand stays at 0.84 of the original capacity.
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

demand("certify", "orders", 0.04)
demand("order",   "orders", 0.3)
demand("browse",  "orders", 0.5)
at(5, slow, "lathe", 10)

run { seconds = 22, measure_from = 9 }
expect { goodput = 0.95, wasted = 0.02, retries = 0.1 }
expect { "certify", served = 0.99 }
expect { "order",  floor = 0.95 }
expect { "browse", floor = 0.95 }
