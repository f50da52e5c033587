-- Guards against requests that depend on the store: while the store is down, slow or loses its
-- responses, requests must be served and the configuration kept. Afterwards a new configuration
-- must take effect.
local common = require "common"

store{}
local revision = config("examples/hanul/config")
local orders = service{name = "orders", upstreams = 3}
common.ready(revision)

local function serve_during(name, faults)
  fault("store", faults)
  load{nodes = orders.nodes, seconds = 6, flows = {
    {name = name, path = "/orders/1", rate = 60, deadline_ms = 5000, retries = 2, backoff_ms = 100},
    {name = name .. "-post", path = "/orders/1", method = "POST", rate = 20, deadline_ms = 5000},
  }}
  for flow, seen in pairs(results()) do
    expect(seen.goodput == seen.offered, flow .. ": only " .. seen.goodput .. " of " .. seen.offered .. " were served")
  end
  for _, node in ipairs(orders.nodes) do
    expect(state(node).config.revision == revision, node .. " lost its configuration")
  end
end

serve_during("down", {down = true, expire_leases = true})
serve_during("slow", {down = false, delay_ms = 3000})
serve_during("lossy", {delay_ms = 0, lose_answers = true})
fault("store", {lose_answers = false})

revision = config("examples/hanul/config")
wait{"the new configuration is active", at_most = 60, when = function()
  for _, node in ipairs(orders.nodes) do
    if state(node).config.revision ~= revision then return false end
  end
  return true
end}
