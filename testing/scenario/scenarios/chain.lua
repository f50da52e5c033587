-- Guards against responses that are truncated, mixed up or lost in a call chain: each of three
-- services calls the next one, and every caller must get the complete response to its own request.
local common = require "common"

store{}
local revision = config("examples/hanul/config")
service{name = "certification", upstreams = 2}
service{name = "orders", upstreams = 2, calls = {"/certificates/lot-7"}}
local catalogue = service{name = "catalogue", upstreams = 2, calls = {"/orders/open", "/orders/late"}}
common.ready(revision)

for i = 1, 60 do
  send{node = catalogue.nodes[i % 2 + 1], path = "/catalogue/tools/" .. i, id = "request-" .. i}
end
for i, answer in ipairs(answers()) do
  expect(answer.status == 200, "status of request " .. i .. " is " .. answer.status .. " " .. answer.reason)
  expect(answer.outcome == "backend", "outcome is " .. answer.outcome)
  expect(answer.body.id == "request-" .. i, "request " .. i .. " got the response to " .. answer.body.id)
  expect(answer.body.path == "/catalogue/tools/" .. i, "wrong path " .. answer.body.path)
  expect(#answer.body.calls == 2, "the response has " .. #answer.body.calls .. " calls")
  for _, order in ipairs(answer.body.calls) do
    expect(order.answer.id == "request-" .. i, "the response of an order belongs to another request")
    expect(order.answer.calls[1].answer.path == "/certificates/lot-7", "the response of the certificate is missing")
  end
end
