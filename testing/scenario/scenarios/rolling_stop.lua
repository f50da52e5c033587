-- Guards against planned stops that interrupt requests: every node of a service is stopped with
-- SIGTERM and restarted under load, and no request may be interrupted. Callers may get not-run, and
-- retry.
local common = require "common"

store{}
local revision = config("examples/hanul/config")
local orders = service{name = "orders", upstreams = 4, slots = 50, service_ms = 150}
local entry = service{name = "catalogue", upstreams = 2}
common.ready(revision)

for _, node in ipairs(orders.nodes) do
  load{nodes = entry.nodes, seconds = 8, flows = {
    {name = "read", path = "/orders/1", rate = 60, deadline_ms = 10000, retries = 5, backoff_ms = 200},
    {name = "place", path = "/orders/1", method = "POST", rate = 120, deadline_ms = 10000, retries = 5, backoff_ms = 200},
  }}
  pause(1)
  stop(node)
  start(node)
  common.ready(revision)
  common.expect_uninterrupted(results())
end
