-- The deep service is ten times slower for 3 s, and callers send each request up to ten times.
rank("urgent", { worth = 10, floor = 0.2, deadline = 0.5 })
rank("middle", { worth = 5,  floor = 0.2, deadline = 0.5 })
rank("other",  { worth = 1,  floor = 0.1, deadline = 0.5 })
service("front", 20)
service("back", 20)
serve("front", { upstreams = 3, slots = 50 })
serve("back",  { upstreams = 3, slots = 20 })
call("front", "back")

demand("urgent", "front", 0.2, { tries = 10, pause = 20 })
demand("middle", "front", 0.3, { tries = 10, pause = 20 })
demand("other",  "front", 0.3, { tries = 10, pause = 20 })
at(5, slow, "back", 10, 3)

run { seconds = 15, measure_from = 2, overload_from = 5, overload_until = 8 }
expect { recovery = 2, retries = 0.1 }
