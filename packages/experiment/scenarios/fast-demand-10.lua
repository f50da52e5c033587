-- Demand of ten times the capacity of two small services; the excess has the least worth.
rank("urgent", { worth = 10, floor = 0.2, deadline = 0.5 })
rank("middle", { worth = 5,  floor = 0.2, deadline = 0.5 })
rank("other",  { worth = 1,  floor = 0.1, deadline = 0.5 })
service("front", 20)
service("back", 20)
serve("front", { upstreams = 3, slots = 50 })
serve("back",  { upstreams = 3, slots = 20 })
call("front", "back")

demand("urgent", "front", 0.3)
demand("middle", "front", 0.2)
demand("other",  "front", 9.5)

run { seconds = 10, measure_from = 4 }
expect { goodput = 0.95, wasted = 0.02, retries = 0.1 }
expect { "urgent", served = 0.99 }
expect { "middle", floor = 0.95 }
expect { "other",  floor = 0.95 }
