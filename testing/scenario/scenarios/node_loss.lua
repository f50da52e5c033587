-- Guards against responses that are lost with a killed or suspended node: reads that are retried
-- must all get their own complete response, orders without a key must be executed at most once, and
-- the node must receive requests again after it recovers.
local common = require "common"

store{}
local revision = config("examples/hanul/config")
local orders = service{name = "orders", upstreams = 4, slots = 20, service_ms = 20}
local entry = service{name = "catalogue", upstreams = 2}
common.ready(revision)

local function serve_during(name, seconds, before, after)
  load{nodes = entry.nodes, seconds = seconds, flows = {
    {name = name .. "-read", path = "/orders/1", rate = 60, deadline_ms = 5000, retries = 8, backoff_ms = 500},
    {name = name .. "-place", path = "/orders/1", method = "POST", rate = 40, deadline_ms = 5000, retries = 8, backoff_ms = 500},
  }}
  pause(1)
  before()
  pause(seconds / 2)
  after()
  local seen = results()
  local read, placed = seen[name .. "-read"], seen[name .. "-place"]
  expect(read.goodput == read.offered, name .. ": only " .. read.goodput .. " of " .. read.offered .. " reads were served")
  expect(placed.wrong == 0, name .. ": wrong responses")
  expect(placed.goodput > 0, name .. ": no orders were placed")
  common.ready(revision)
end

serve_during("frozen", 10, function() freeze(orders.nodes[1]) end, function() thaw(orders.nodes[1]) end)
serve_during("killed", 10, function() kill(orders.nodes[2]) end, function() start(orders.nodes[2]) end)

for id, count in pairs(executions()) do
  expect(count == 1 or id:find("read", 1, true), id .. " was executed " .. count .. " times")
end
local before = counters(orders.backends[1]).received + counters(orders.backends[2]).received
serve_during("afterwards", 6, function() end, function() end)
expect(counters(orders.backends[1]).received + counters(orders.backends[2]).received > before,
  "the recovered nodes receive no requests")
