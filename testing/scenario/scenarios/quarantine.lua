-- Guards against one request that crashes every backend server that executes it: after the second
-- or third crash it must be refused as not-run with the reason quarantined, while other requests
-- are served.
local common = require "common"

store{}
local revision = config("examples/hanul/config")
local orders = service{name = "orders", upstreams = 3}
common.ready(revision)
for _, backend in ipairs(orders.backends) do
  fault(backend, {crash_on_path = "/orders/poison"})
end

local function all_deaths()
  local sum = 0
  for _, backend in ipairs(orders.backends) do sum = sum + deaths(backend) end
  return sum
end

local refused
for i = 1, 30 do
  local before = all_deaths()
  local answer = call{node = orders.nodes[i % 3 + 1], path = "/orders/poison", method = "POST",
    body = "the same request", id = "poison-" .. i}
  if answer.reason == "quarantined" then
    refused = answer
    break
  end
  expect(answer.outcome == "unknown" or answer.outcome == "not-run", "outcome is " .. answer.outcome)
  if answer.outcome == "unknown" then
    wait{"the backend server crashed", at_most = 30, when = function() return all_deaths() > before end}
  end
  -- A restarted backend server has lost its faults.
  for _, backend in ipairs(orders.backends) do
    fault(backend, {crash_on_path = "/orders/poison"})
  end
  wait{"the backend servers are available", at_most = 60, when = function()
    for _, node in ipairs(orders.nodes) do
      if not state(node).backend_available then return false end
    end
    return true
  end}
  pause(1)
end
expect(refused, "the request was never quarantined; crashes: " .. all_deaths())
expect(refused.outcome == "not-run", "the outcome is " .. refused.outcome)
expect(all_deaths() == 2 or all_deaths() == 3, "crashes: " .. all_deaths())

local died = all_deaths()
wait{"every node refuses the request", at_most = 60, when = function()
  for _, node in ipairs(orders.nodes) do
    local answer = call{node = node, path = "/orders/poison", method = "POST", body = "the same request"}
    if answer.reason ~= "quarantined" then return false end
  end
  return true
end}
expect(all_deaths() <= 3, "crashes: " .. all_deaths() .. ", first refused after " .. died)
for _, node in ipairs(orders.nodes) do
  local answer = call{node = node, path = "/orders/fine", method = "POST"}
  expect(answer.status == 200, "another request on " .. node .. " got " .. answer.status .. " " .. answer.reason)
end
