-- Alerts, the most urgent rank of Bleskovod, flood the services.
rank("alert",    { worth = 100, floor = 0.2, deadline = 0.5 })
rank("certify",  { worth = 50,  floor = 0.2, deadline = 0.5 })
rank("book",     { worth = 10,  floor = 0.2, deadline = 1 })
rank("query",    { worth = 1,   floor = 0.1, deadline = 1 })

link { caller = 3, far = 4, loss = 0.01 }
service("certification", 20)
service("archive", 20)
service("recalibration", 40)
serve("certification", { upstreams = 3, slots = 120, connections = 800, centres = { "a", "b", "c" } })
serve("archive",       { upstreams = 5, slots = 70, connections = 500, centres = { "a", "b", "c" } })
serve("recalibration", { upstreams = 3, slots = 40, connections = 300, centres = { "a", "b", "c" } })
call("certification", "archive")
call("archive", "recalibration")

demand("alert",   "certification", 10)
demand("certify", "certification", 0.2)
demand("book",    "certification", 0.3)
demand("query",   "certification", 0.3)

run { seconds = 16, measure_from = 5 }
expect { goodput = 0.95, wasted = 0.02, retries = 0.1 }
expect { "certify", floor = 0.95 }
expect { "book",  floor = 0.95 }
expect { "query", floor = 0.95 }
