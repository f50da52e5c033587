-- Guards against planned stops that interrupt requests: every node of a service is stopped by
-- SIGTERM and started again under load, and no request is cut off. Callers may see not-run, which
-- they send again.
local common = require "common"

store{}
local revision = config("examples/hanul/config")
local orders = service{name = "orders", upstreams = 4, service_ms = 20}
local entry = service{name = "catalogue", upstreams = 2}
common.ready(revision)

load{nodes = entry.nodes, seconds = 30, flows = {
  {name = "read", path = "/orders/1", rate = 60, deadline_ms = 10000, retries = 5, backoff_ms = 200},
  {name = "place", path = "/orders/1", method = "POST", rate = 40, deadline_ms = 10000, retries = 5, backoff_ms = 200},
}}
for _, node in ipairs(orders.nodes) do
  stop(node)
  start(node)
  common.ready(revision)
end
local seen = results()
for _, name in ipairs{"read", "place"} do
  local flow = seen[name]
  expect(flow.unknown == 0, name .. ": " .. flow.unknown .. " requests are unknown")
  expect(flow.errors == 0, name .. ": " .. flow.errors .. " errors")
  expect(flow.wrong == 0, name .. ": " .. flow.wrong .. " wrong answers")
  expect(flow.timeouts == 0, name .. ": " .. flow.timeouts .. " requests had no answer in time")
  expect(flow.goodput > 0, name .. ": no good answers")
end
