-- Steps that several scenarios share.
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

-- How many nodes the node knows that are not leaving, itself included.
function common.known(node)
  local count = 0
  for _, member in ipairs(state(node, "/members")) do
    if not member.leaving then count = count + 1 end
  end
  return count
end

-- A UUIDv7 of now, in the form that callers are told to use for keys.
function common.key()
  local ms = os.time() * 1000
  return string.format("%08x-%04x-7%03x-%04x-%06x%06x", ms >> 16, ms & 0xffff,
    math.random(0, 0xfff), 0x8000 | math.random(0, 0x3fff), math.random(0, 0xffffff),
    math.random(0, 0xffffff))
end

-- Every answer that says that its request did not run is true.
function common.expect_true_refusals(all)
  local ran = executions()
  local refused = 0
  for _, answer in ipairs(all) do
    if answer.outcome == "not-run" then
      refused = refused + 1
      expect(not ran[answer.id], answer.id .. " was answered not-run (" .. answer.reason ..
        ") by " .. answer.node .. " and ran")
    end
  end
  return refused
end

-- No request of the load was cut off; some may have been refused as not-run.
function common.expect_uninterrupted(flows)
  for name, flow in pairs(flows) do
    expect(flow.unknown == 0, name .. ": " .. flow.unknown .. " requests are unknown")
    expect(flow.errors == 0, name .. ": " .. flow.errors .. " errors")
    expect(flow.wrong == 0, name .. ": " .. flow.wrong .. " wrong answers")
    expect(flow.timeouts == 0, name .. ": " .. flow.timeouts .. " requests had no answer in time")
    expect(flow.goodput > 0, name .. ": no good answers")
  end
end

return common
