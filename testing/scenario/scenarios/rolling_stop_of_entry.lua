-- Guards against planned stops that interrupt requests of callers connected to the stopping node:
-- callers connect to every node while each is stopped with SIGTERM and restarted in turn. They may
-- get not-run or a refused connection, and retry.
local common = require "common"

store{}
local revision = config("examples/hanul/config")
local orders = service{name = "orders", upstreams = 3, slots = 50, service_ms = 150}
common.ready(revision)

for _, node in ipairs(orders.nodes) do
  load{nodes = orders.nodes, seconds = 8, flows = {
    {name = "read", path = "/orders/1", rate = 60, deadline_ms = 10000, retries = 5, backoff_ms = 200},
    {name = "place", path = "/orders/1", method = "POST", rate = 120, deadline_ms = 10000, retries = 5, backoff_ms = 200},
  }}
  pause(1)
  stop(node)
  start(node)
  common.ready(revision)
  common.expect_uninterrupted(results())
end
