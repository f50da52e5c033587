-- Guards against a suspended shard owner that dispatches after its ownership has expired: requests
-- with new keys wait in the sockets of a suspended node while the new owner executes them. When the
-- suspended node resumes, it must not execute them again.
local common = require "common"

store{}
local revision = config("examples/hanul/config")
local orders = service{name = "orders", upstreams = 4, slots = 20, service_ms = 5}
common.ready(revision)

local function place(node, key)
  send{node = node, path = "/orders/1", method = "POST", key = key, caller = "mill", body = key,
    deadline_ms = 10000}
end
-- Sends the keys to the nodes from number `from` on and returns whether all of them were served.
-- The keys must cover all shards.
local function all_served(from, keys)
  for i, key in ipairs(keys) do
    place(orders.nodes[from + i % (5 - from)], key)
  end
  local served = true
  for _, answer in ipairs(answers()) do
    served = served and answer.status == 200
  end
  return served
end
local function new_keys(count)
  local keys = {}
  for i = 1, count do keys[i] = common.key() end
  return keys
end

wait{"every shard is served", at_most = 90, when = function() return all_served(1, new_keys(200)) end}
for round = 1, 2 do
  -- A node that owns no shards could not execute a key wrongly, so the round would check nothing.
  wait{"the first node owns shards", at_most = 90, when = function()
    return state(orders.nodes[1]).ownership.shards > 0
  end}
  freeze(orders.nodes[1])
  wait{"the other nodes serve every shard", at_most = 90, when = function()
    pause(0.5)
    return all_served(2, new_keys(200))
  end}

  local keys = new_keys(200)
  for _, key in ipairs(keys) do place(orders.nodes[1], key) end
  pause(0.2)
  for i, key in ipairs(keys) do place(orders.nodes[2 + i % 3], key) end
  pause(0.5)
  thaw(orders.nodes[1])
  local all = answers()

  local ran = executions()
  local once = 0
  for _, key in ipairs(keys) do
    local times = ran[key] or 0
    expect(times <= 1, "round " .. round .. ": key " .. key .. " was executed " .. times .. " times")
    once = once + times
  end
  expect(once > 0, "no key was executed")
  common.expect_true_refusals(all)
  wait{"every shard is served again", at_most = 90, when = function() return all_served(1, new_keys(200)) end}
end
