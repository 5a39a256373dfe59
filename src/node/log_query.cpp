/// \file Admin query that reads and sets log levels.
#include "node/log_query.h"

#include "core/log_func.h"

namespace acacianotch {

auto queryLogLevel(const nlohmann::json &Arguments) -> result<nlohmann::json> {
  const auto Category = Arguments.value("category", std::string());
  const auto Level = Arguments.value("level", std::string());
  const auto FoundCategory = LogCategoryNames.find(Category);
  const auto FoundLevel = LogLevelNames.find(Level);
  if (!Category.empty() && !FoundCategory)
    return failure::of(errc::bad_request, "unknown log category " + Category);
  if (!Level.empty() && !FoundLevel)
    return failure::of(errc::bad_request, "unknown log level " + Level);
  if (FoundLevel && FoundCategory)
    setLogLevel(*FoundCategory, *FoundLevel);
  else if (FoundLevel)
    setLogLevel(*FoundLevel);
  nlohmann::json Levels = nlohmann::json::object();
  for (const auto &Row : LogCategoryNames.Rows)
    Levels[std::string(Row.Name)] = LogLevelNames.name(logLevel(Row.Value));
  return nlohmann::json{{"levels", std::move(Levels)}};
}

} // namespace acacianotch
