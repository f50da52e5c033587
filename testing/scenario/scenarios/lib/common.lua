-- Functions shared by the scenarios.
local common = {}

-- Waits until every running node has this configuration revision and knows every running node.
function common.ready(revision)
  wait{"every node has the configuration and knows the others", at_most = 90, when = function()
    local up = {}
    for _, node in ipairs(nodes()) do
      if running(node) then up[#up + 1] = node end
    end
    for _, node in ipairs(up) do
      local here = state(node)
      if here.config.revision ~= revision or not here.backend_available then return false end
      if common.known(node) < #up then return false end
    end
    return true
  end}
end

-- Returns how many nodes that are not leaving the node knows, including itself.
function common.known(node)
  local count = 0
  for _, member in ipairs(state(node, "/members")) do
    if not member.leaving then count = count + 1 end
  end
  return count
end

-- Returns a UUIDv7 of the current time, the format that callers should use for keys.
function common.key()
  local ms = os.time() * 1000
  return string.format("%08x-%04x-7%03x-%04x-%06x%06x", ms >> 16, ms & 0xffff,
    math.random(0, 0xfff), 0x8000 | math.random(0, 0x3fff), math.random(0, 0xffffff),
    math.random(0, 0xffffff))
end

-- Expects that no request with the outcome not-run was executed, and returns how many had it.
function common.expect_true_refusals(all)
  local ran = executions()
  local refused = 0
  for _, answer in ipairs(all) do
    if answer.outcome == "not-run" then
      refused = refused + 1
      expect(not ran[answer.id], answer.id .. " got the outcome not-run (" .. answer.reason ..
        ") from " .. answer.node .. " but was executed")
    end
  end
  return refused
end

-- Expects that no request of the load was interrupted. Requests may have been refused as not-run.
function common.expect_uninterrupted(flows)
  for name, flow in pairs(flows) do
    expect(flow.unknown == 0, name .. ": " .. flow.unknown .. " requests with an unknown outcome")
    expect(flow.errors == 0, name .. ": " .. flow.errors .. " errors")
    expect(flow.wrong == 0, name .. ": " .. flow.wrong .. " wrong responses")
    expect(flow.timeouts == 0, name .. ": " .. flow.timeouts .. " requests timed out")
    expect(flow.goodput > 0, name .. ": no successful responses")
  end
end

return common
