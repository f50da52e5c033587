-- Guards against the outcome not-run for a request that was executed: requests meet overload, nodes
-- that are killed, frozen or stopped, and a backend server that is frozen.
local common = require "common"

store{}
local revision = config("examples/hanul/config")
local orders = service{name = "orders", upstreams = 4, slots = 4, service_ms = 50}
local entry = service{name = "catalogue", upstreams = 2}
common.ready(revision)

local everyone = nodes()
local all = {}
local function burst(count, path)
  for _ = 1, count do
    send{node = everyone[math.random(#everyone)], path = path, method = "POST", deadline_ms = 1500}
  end
end
local function collect()
  for _, answer in ipairs(answers()) do all[#all + 1] = answer end
end

burst(600, "/orders/overload")
collect()

burst(200, "/orders/frozen")
freeze(orders.nodes[1])
pause(1)
burst(200, "/orders/frozen")
pause(1)
thaw(orders.nodes[1])
collect()

burst(200, "/orders/killed")
kill(orders.nodes[2])
burst(200, "/orders/killed")
collect()
start(orders.nodes[2])
common.ready(revision)

burst(200, "/orders/stopped")
stop(orders.nodes[3])
burst(100, "/orders/stopped")
collect()
start(orders.nodes[3])

-- The backend server is frozen rather than killed, to keep its execution counts.
burst(100, "/orders/backend-frozen")
freeze(orders.backends[4])
burst(100, "/orders/backend-frozen")
collect()
thaw(orders.backends[4])
pause(2)

local refused = common.expect_true_refusals(all)
expect(refused > 0, "no request was refused, so the scenario checked nothing")
print(#all .. " requests, " .. refused .. " with the outcome not-run")
for id, count in pairs(executions()) do
  expect(count == 1, id .. " has no key and was executed " .. count .. " times")
end
