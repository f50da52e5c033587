-- Guards against a configuration that reverts or is lost: a malformed value, a value with an
-- invalid setting and a lower revision must change nothing, and the next valid value must take
-- effect.
local common = require "common"

store{}
local first = config("examples/hanul/config")
local orders = service{name = "orders", upstreams = 3}
common.ready(first)

local function serves()
  for _, node in ipairs(orders.nodes) do
    local answer = call{node = node, path = "/orders/1"}
    expect(answer.status == 200, node .. " responded with " .. answer.status .. " " .. answer.reason)
  end
end

local function all_have(revision, refusal)
  for _, node in ipairs(orders.nodes) do
    local here = state(node).config
    if here.revision ~= revision or (here.last_refusal ~= "") ~= refusal then return false end
  end
  return true
end

serves()
local second = config("examples/hanul/config")
expect(second == first + 1, "the second revision is " .. second)
wait{"the second revision is active", at_most = 14, when = function() return all_have(second, false) end}

config{raw = "{\"revision\": 9, \"files\": "}
wait{"every node reports the refusal", at_most = 60, when = function() return all_have(second, true) end}
serves()

config{raw = "{\"revision\":9,\"change_id\":\"x\",\"base\":2,\"files\":{\"a.json\":\"{ \\\"ranks\\\": 7 }\"}," ..
  "\"history\":[{\"revision\":9,\"change_id\":\"x\",\"author\":\"a\",\"time_ms\":1,\"file_count\":1," ..
  "\"files\":[\"a.json\"]}]}"}
pause(2)
expect(all_have(second, true), "a value with an invalid setting changed the revision")
serves()

config{folder = "examples/hanul/config", revision = first}
pause(2)
expect(all_have(second, true), "a lower revision was accepted")
serves()

config{folder = "examples/hanul/config", revision = second + 1}
wait{"the next valid value is active", at_most = 14, when = function() return all_have(second + 1, false) end}
serves()
