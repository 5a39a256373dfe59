/// \file Probes of ejected backend servers.
#include "entry/backend_prober.h"

#include "entry/request_id_func.h"

namespace acacianotch {

namespace {

constexpr duration ProbeDeadline = std::chrono::seconds(10);

} // namespace

/// One probe in progress.
struct backend_prober::probe {
  pool &Pool;
  observed_attempt Observed;
  bool FirstTokenReceived = false;
  kj::Maybe<kj::Promise<void>> Call;
};

/// Counts the tokens of a probe's answer and discards its data.
class backend_prober::sink final : public wire::ResponseSink::Server {
public:
  explicit sink(std::weak_ptr<probe> TheProbe) : Probe(std::move(TheProbe)) {}

  auto write(WriteContext Context) -> kj::Promise<void> override {
    const auto Locked = Probe.lock();
    if (Locked == nullptr)
      return KJ_EXCEPTION(DISCONNECTED, "the probe has ended");
    const auto Data = Context.getParams().getData();
    auto Tokens = countEvents(
        {reinterpret_cast<const char *>(Data.begin()), Data.size()});
    auto &Outlier = Locked->Pool.Outlier;
    if (!std::exchange(Locked->FirstTokenReceived, true)) {
      Outlier.firstToken(Locked->Observed);
      Tokens = Tokens > 0 ? Tokens - 1 : 0;
    }
    Outlier.progress(Locked->Observed, Tokens);
    return kj::READY_NOW;
  }

private:
  std::weak_ptr<probe> Probe;
};

backend_prober::backend_prober(dispatch_context TheContext)
    : Context(TheContext) {}

backend_prober::~backend_prober() = default;

auto backend_prober::tick() -> void {
  Probes.remove_if([](const auto &Probe) {
    return !Probe->Pool.Outlier.probing(Probe->Observed);
  });
  for (const auto &[Name, Pool] : Context.Pools.pools())
    if (const auto Due = Pool->Outlier.probeDue())
      start(*Pool, *Due);
}

auto backend_prober::start(pool &Pool, backend_handle Backend) -> void {
  const auto *Address = Context.Pools.agentAddress(Backend);
  if (Address == nullptr)
    return;
  Probes.push_back(
      std::make_shared<probe>(probe{Pool, Pool.Outlier.probeStarted(Backend)}));
  auto &Probe = Probes.back();
  Probe->Call =
      Context.Agents.connect(*Address)
          .then([this, Probe = std::weak_ptr(Probe)](
                    wire::Agent::Client Agent) -> kj::Promise<void> {
            const auto Locked = Probe.lock();
            return Locked ? send(Locked, kj::mv(Agent)) : kj::READY_NOW;
          })
          .catch_([&Pool, Observed = Probe->Observed](kj::Exception &&) {
            Pool.Outlier.failed(Observed);
          })
          .eagerlyEvaluate(nullptr);
}

auto backend_prober::send(const std::shared_ptr<probe> &Probe,
                          wire::Agent::Client Agent) -> kj::Promise<void> {
  auto &Pool = Probe->Pool;
  const auto Observed = Probe->Observed;
  if (!Pool.ProbeRequest) {
    Pool.Outlier.probeAnswered(Observed);
    return kj::READY_NOW;
  }
  auto Copy = *Pool.ProbeRequest;
  Copy.Id = newRequestId();
  Copy.Deadline = steady_clock::now() + ProbeDeadline;
  auto Call = Agent.runRequest();
  writeWorkRequest(Call.initRequest(), Copy, 0, Context.View);
  Call.setSink(kj::heap<sink>(Probe));
  return Call.send().then([&Pool, Observed](auto &&Response) {
    if (errcFromWire(Response.getOutcome().getError()) == errc::ok)
      Pool.Outlier.probeAnswered(Observed);
    else
      Pool.Outlier.failed(Observed);
  });
}

} // namespace acacianotch
