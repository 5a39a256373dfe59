/// \file A request in the form in which an entry sends it to agents.
#include "entry/dispatch_request.h"

#include "net/kj_func.h"

#include <algorithm>

namespace acacianotch {

auto writeWorkRequest(wire::WorkRequest::Builder Work,
                      const dispatch_request &Request, std::uint32_t Number,
                      const catalogue_view &View) -> void {
  Work.setRequestId(Request.Id.Text.c_str());
  Work.setAttempt(Number);
  Work.setAccount(Request.Account.Text.c_str());
  Work.setAccountWeight(static_cast<float>(Request.AccountWeight));
  Work.setModel(Request.Version.Model.c_str());
  Work.setVersion(Request.Version.Version.c_str());
  Work.setService(Request.Service.c_str());
  Work.setRequestClass(Request.Class.c_str());
  Work.setPriority(Request.Priority);
  Work.setLongWork(Request.Long);
  Work.setIdempotent(Request.Idempotent);
  Work.setStreamed(Request.Streamed);
  Work.setHideUsage(Request.HideUsage);
  Work.setIsolated(Request.Isolated);
  if (Request.Deadline != time_point::max()) {
    const auto Remaining = Request.Deadline - steady_clock::now();
    const auto RemainingMs = std::max<std::int64_t>(
        Remaining / std::chrono::milliseconds(1), std::int64_t{1});
    Work.setDeadlineMs(static_cast<std::uint32_t>(RemainingMs));
  }
  Work.setCatalogueRevision(static_cast<std::uint64_t>(View.currentRevision()));
  Work.setEpoch(static_cast<std::uint64_t>(View.currentEpoch()));
  Work.setFingerprint(Request.Fingerprint);
  Work.setMethod(Request.Method.c_str());
  Work.setPath(Request.Path.c_str());
  Work.setContentType(Request.ContentType.c_str());
  Work.setBody(toBytes(Request.Body));
}

auto countEvents(std::string_view Data) -> std::uint32_t {
  constexpr std::string_view End = "\n\n";
  std::uint32_t Events = 0;
  for (auto Position = Data.find(End); Position != std::string_view::npos;
       Position = Data.find(End, Position + End.size()))
    ++Events;
  return Events;
}

} // namespace acacianotch
