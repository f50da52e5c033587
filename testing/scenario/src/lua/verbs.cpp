#include "verbs.h"

#include <algorithm>
#include <array>

namespace balsammount {

using Json = nlohmann::json;

namespace {

std::filesystem::path SourcePath(const std::string& aPath)
{
  return std::filesystem::path(BM_SOURCE_DIR) / aPath;
}

// Rejects misspelt fields, which would otherwise be ignored.
void CheckFields(const Json& aObject, std::initializer_list<std::string_view> aKnown)
{
  for (const auto& [name, value] : aObject.items()) {
    if (std::find(aKnown.begin(), aKnown.end(), name) == aKnown.end()) {
      throw std::runtime_error("unknown field " + name);
    }
  }
}

std::string NameArgument(const Json& aArguments)
{
  return aArguments.at(0).get<std::string>();
}

Json StoreVerb(Cluster& aCluster, const Json& /*aArguments*/)
{
  aCluster.StartStore();
  return nullptr;
}

Json ConfigVerb(Cluster& aCluster, const Json& aArguments)
{
  const Json& what = aArguments.at(0);
  if (what.is_string()) {
    return aCluster.WriteConfig(SourcePath(what));
  }
  CheckFields(what, { "raw", "folder", "revision" });
  if (what.contains("raw")) {
    aCluster.WriteRawConfig(what["raw"]);
    return nullptr;
  }
  return aCluster.WriteConfig(SourcePath(what.at("folder")), what.at("revision").get<uint64_t>());
}

Json ServiceVerb(Cluster& aCluster, const Json& aArguments)
{
  const Json& fields = aArguments.at(0);
  CheckFields(fields, { "name", "upstreams", "slots", "service_ms", "calls", "data_centres" });
  ServiceSpec spec;
  spec.mName = fields.at("name");
  spec.mUpstreams = fields.value("upstreams", spec.mUpstreams);
  spec.mSlots = fields.value("slots", spec.mSlots);
  spec.mServiceMs = fields.value("service_ms", spec.mServiceMs);
  spec.mCalls = fields.value("calls", spec.mCalls);
  spec.mDataCentres = fields.value("data_centres", spec.mDataCentres);
  const auto nodes = aCluster.StartService(spec);
  Json backends = Json::array();
  for (const std::string& node : nodes) {
    backends.push_back(node + "/backend");
  }
  return { { "name", spec.mName }, { "nodes", nodes }, { "backends", backends } };
}

Json SendVerb(Cluster& aCluster, const Json& aArguments)
{
  const Json& fields = aArguments.at(0);
  CheckFields(fields, { "node", "path", "method", "key", "id", "body", "caller", "deadline_ms" });
  CallSpec spec;
  spec.mNode = fields.at("node");
  spec.mRequest.mTarget = fields.at("path");
  spec.mRequest.mMethod = fields.value("method", "GET");
  spec.mRequest.mBody = fields.value("body", "");
  spec.mId = fields.value("id", "");
  spec.mDeadline = std::chrono::milliseconds(fields.value("deadline_ms", 5000));
  if (fields.contains("key")) {
    spec.mRequest.mHeaders.Set("Idempotency-Key", fields["key"].get<std::string>());
  }
  if (fields.contains("caller")) {
    spec.mRequest.mHeaders.Set("Balsam-Caller", fields["caller"].get<std::string>());
  }
  aCluster.Send(std::move(spec));
  return nullptr;
}

Json CallVerb(Cluster& aCluster, const Json& aArguments)
{
  SendVerb(aCluster, aArguments);
  const Json responses = aCluster.CollectResponses();
  if (responses.size() != 1) {
    throw std::runtime_error("answers() must collect the responses to send{} before call{}");
  }
  return responses[0];
}

Json AnswersVerb(Cluster& aCluster, const Json& /*aArguments*/)
{
  return aCluster.CollectResponses();
}

std::string FormatFlow(const Json& aFlow)
{
  std::string text;
  for (const auto& [name, value] : aFlow.items()) {
    std::string fieldText = value.is_string() ? value.get<std::string>() : value.dump();
    if (value.is_boolean()) {
      fieldText = value.get<bool>() ? "yes" : "no";
    }
    text += text.empty() ? "" : ",";
    text += name;
    text += "=";
    text += fieldText;
  }
  return text;
}

Json LoadVerb(Cluster& aCluster, const Json& aArguments)
{
  const Json& fields = aArguments.at(0);
  CheckFields(fields, { "nodes", "flows", "seconds" });
  LoadSpec spec;
  spec.mTargets = fields.at("nodes").get<std::vector<std::string>>();
  for (const Json& flow : fields.at("flows")) {
    spec.mFlows.push_back(FormatFlow(flow));
  }
  spec.mSeconds = fields.value("seconds", spec.mSeconds);
  aCluster.StartLoad(spec);
  return nullptr;
}

Json ResultsVerb(Cluster& aCluster, const Json& /*aArguments*/)
{
  return aCluster.LoadResults();
}

template <void (Cluster::*Method)(const std::string&)>
Json ProcessVerb(Cluster& aCluster, const Json& aArguments)
{
  (aCluster.*Method)(NameArgument(aArguments));
  return nullptr;
}

Json RunningVerb(Cluster& aCluster, const Json& aArguments)
{
  return aCluster.Running(NameArgument(aArguments));
}

Json DeathsVerb(Cluster& aCluster, const Json& aArguments)
{
  return aCluster.UnexpectedExits(NameArgument(aArguments));
}

Json FaultVerb(Cluster& aCluster, const Json& aArguments)
{
  aCluster.SetFaults(NameArgument(aArguments), aArguments.at(1));
  return nullptr;
}

Json PauseVerb(Cluster& aCluster, const Json& aArguments)
{
  const std::chrono::duration<double> time(aArguments.at(0).get<double>());
  aCluster.WaitFor(std::chrono::duration_cast<std::chrono::milliseconds>(time),
                   [] { return false; });
  return nullptr;
}

Json ExecutionsVerb(Cluster& aCluster, const Json& aArguments)
{
  const auto sums = aCluster.Executions();
  if (aArguments.empty()) {
    return sums;
  }
  const auto found = sums.find(NameArgument(aArguments));
  return found == sums.end() ? 0 : found->second;
}

Json StateVerb(Cluster& aCluster, const Json& aArguments)
{
  return aCluster.NodePage(NameArgument(aArguments),
                           aArguments.size() > 1 ? aArguments[1] : "/state");
}

Json CountersVerb(Cluster& aCluster, const Json& aArguments)
{
  return aCluster.Counters(NameArgument(aArguments));
}

Json NodesVerb(Cluster& aCluster, const Json& /*aArguments*/)
{
  return aCluster.Nodes();
}

constexpr std::array kVerbs = {
  Verb{ "store", StoreVerb },
  Verb{ "config", ConfigVerb },
  Verb{ "service", ServiceVerb },
  Verb{ "call", CallVerb },
  Verb{ "send", SendVerb },
  Verb{ "answers", AnswersVerb },
  Verb{ "load", LoadVerb },
  Verb{ "results", ResultsVerb },
  Verb{ "kill", ProcessVerb<&Cluster::Kill> },
  Verb{ "freeze", ProcessVerb<&Cluster::Freeze> },
  Verb{ "thaw", ProcessVerb<&Cluster::Thaw> },
  Verb{ "stop", ProcessVerb<&Cluster::Stop> },
  Verb{ "start", ProcessVerb<&Cluster::Start> },
  Verb{ "announce_leaving", ProcessVerb<&Cluster::AnnounceLeaving> },
  Verb{ "running", RunningVerb },
  Verb{ "deaths", DeathsVerb },
  Verb{ "fault", FaultVerb },
  Verb{ "pause", PauseVerb },
  Verb{ "executions", ExecutionsVerb },
  Verb{ "state", StateVerb },
  Verb{ "counters", CountersVerb },
  Verb{ "nodes", NodesVerb },
};

} // namespace

std::span<const Verb> Verbs()
{
  return kVerbs;
}

} // namespace balsammount
