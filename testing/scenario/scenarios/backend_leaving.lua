-- Guards against requests to a backend server that is leaving: from 3 s after its announcement it
-- must receive no new requests, and every caller's request must still be served.
local common = require "common"

store{}
local revision = config("examples/hanul/config")
local orders = service{name = "orders", upstreams = 3}
local entry = service{name = "catalogue", upstreams = 1}
common.ready(revision)

local sources = {entry.nodes[1], orders.nodes[1], orders.nodes[2], orders.nodes[3]}
load{nodes = sources, seconds = 3, flows = {
  {name = "before", path = "/orders/1", rate = 100, deadline_ms = 5000},
}}
results()
expect(counters(orders.backends[1]).received > 0, "the backend server received no requests before it announced that it is leaving")

announce_leaving(orders.nodes[1])
pause(3)
local received = counters(orders.backends[1]).received
load{nodes = sources, seconds = 4, flows = {
  {name = "after", path = "/orders/1", rate = 100, deadline_ms = 5000, retries = 3, backoff_ms = 100},
}}
local after = results().after
local more = counters(orders.backends[1]).received - received
expect(more == 0, more .. " requests reached the backend server that is leaving")
expect(after.goodput == after.offered, "only " .. after.goodput .. " of " .. after.offered .. " were served")
