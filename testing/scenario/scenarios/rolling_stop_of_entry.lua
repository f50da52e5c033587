-- Guards against planned stops that cut off callers who are connected to the node that stops: every
-- node is an entry for callers while it is stopped by SIGTERM and started again. Callers may see
-- not-run or a refused connection, and send again.
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
