-- Guards against a keyed request that is executed twice: keys are sent again to random nodes while
-- nodes are killed, frozen, thawed or stopped and the store loses responses or is down. No key may
-- be executed more than once.
local common = require "common"

store{}
local revision = config("examples/hanul/config")
local orders = service{name = "orders", upstreams = 5, slots = 20, service_ms = 20}
local entry = service{name = "catalogue", upstreams = 1}
common.ready(revision)

local everyone = nodes()
local all = {}
local function collect()
  for _, answer in ipairs(answers()) do all[#all + 1] = answer end
end
local function resend(keys, deadline)
  for _, key in ipairs(keys) do
    send{node = everyone[math.random(#everyone)], path = "/orders/1", method = "POST", key = key,
      caller = "mill", body = key, deadline_ms = deadline}
  end
end
-- Sends new keys repeatedly to random nodes, before and after each action.
local function resend_during(count, actions)
  local keys = {}
  for i = 1, count do keys[i] = common.key() end
  for _, action in ipairs(actions) do
    resend(keys, 1500)
    resend(keys, 1500)
    action()
    resend(keys, 1500)
    collect()
  end
  return keys
end
local function served()
  wait{"keyed requests are served", at_most = 90, when = function()
    return call{node = entry.nodes[1], path = "/orders/1", method = "POST", key = common.key(),
      caller = "mill"}.status == 200
  end}
end

served()
resend_during(60, {function() end, function() pause(0.2) end})
resend_during(60, {
  function() kill(orders.nodes[1]) end, function() pause(1) end, function() pause(3) end,
  function() start(orders.nodes[1]) end, function() pause(2) end})
resend_during(60, {
  function() freeze(orders.nodes[2]) end, function() pause(3) end, function() pause(3) end,
  function() thaw(orders.nodes[2]) end, function() pause(2) end})
resend_during(60, {
  function() fault("store", {lose_answers = true}); kill(orders.nodes[3]) end,
  function() pause(3) end, function() start(orders.nodes[3]) end,
  function() fault("store", {lose_answers = false}) end, function() pause(2) end})
resend_during(60, {
  function() fault("store", {down = true}); freeze(orders.nodes[4]) end,
  function() pause(4) end, function() thaw(orders.nodes[4]) end,
  function() fault("store", {down = false}) end, function() pause(2) end})
served()
resend_during(40, {
  function() stop(orders.nodes[5]) end, function() start(orders.nodes[5]) end,
  function() pause(2) end})

local good = 0
for _, answer in ipairs(all) do
  if answer.outcome == "backend" then good = good + 1 end
end
expect(good > 0, "no keyed request was served")
local ran, count = executions(), 0
for _, answer in ipairs(all) do
  local times = ran[answer.key] or 0
  expect(times <= 1, "key " .. answer.key .. " was executed " .. times .. " times")
  expect(answer.outcome ~= "backend" or times == 1, "key " .. answer.key .. " got a response from a backend server but was not executed")
end
for key, times in pairs(ran) do
  if times > 0 then count = count + 1 end
end
common.expect_true_refusals(all)
print(#all .. " requests, " .. good .. " answered by a backend server")
